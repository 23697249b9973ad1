package main

import (
	"net/http"
	"time"
)

func init() { cases["rejoin"] = playRejoin }

// playRejoin kills the process of one machine and starts it again after 1 s. The endpoint beside it then reports that it
// is gone, and a heartbeat that it had sent shortly before arrives 3 s after the acknowledgement. The endpoint serves for
// 12 s after the acknowledgement. DRAIN is broken if a request reaches it later than drain after the acknowledgement,
// sent by one of the other machines, whose processes are left alone.
func playRejoin(r *run, trouble bool) (bool, error) {
	const drain = 2500 * time.Millisecond
	if err := r.startStore(); err != nil {
		return false, err
	}
	for _, p := range []place{{"z-a", "r-a", "meldung"}, {"z-b", "r-a", "meldung"}, {"z-a", "r-a", "ergebnis"}} {
		n, err := r.newNode(p)
		if err != nil {
			return false, err
		}
		e, err := r.newEndpoint(n, "i-"+string(rune('a'+n.index)))
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		go e.beatUntilStopped()
	}
	r.store.operate("config", "main", configuration(7, []string{"meldung", "ergebnis"},
		route{prefix: "/m/", kind: "safe", service: "meldung"}, route{prefix: "/e/", kind: "unsafe", service: "ergebnis"}))
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	leaver := r.endpoints[0]
	leaver.stopBeats()
	if trouble {
		leaver.node.kill()
		time.Sleep(time.Second)
		if err := leaver.node.start(); err != nil {
			return false, err
		}
		if err := r.awaitReady(); err != nil {
			return false, err
		}
	}
	delayed := leaver.nextBeat("ready")
	r.note("endpoint %s sends a heartbeat that will arrive late: %s", leaver.id, delayed)
	time.Sleep(200 * time.Millisecond)
	if !r.announce(http.MethodDelete, leaver.node, leaver.id, nil) {
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	r.note("the report of %s that it is gone is acknowledged; it goes on to serve for 12 s", leaver.id)
	time.Sleep(3 * time.Second)
	r.note("the delayed heartbeat of %s arrives", leaver.id)
	r.announce(http.MethodPut, leaver.node, leaver.id, delayed)
	time.Sleep(500 * time.Millisecond)
	var all []sent
	for time.Since(acknowledged) < 10*time.Second {
		for _, n := range r.nodes[1:] {
			all = append(all, r.send(n, "GET", "/m/1", ""))
		}
		time.Sleep(100 * time.Millisecond)
	}
	runs := r.allRuns()
	served, broken := 0, 0
	for _, s := range all {
		if s.status == 200 {
			served++
		}
		for _, one := range runs[s.id] {
			if one.endpoint == leaver && one.at.Sub(acknowledged) > drain {
				broken++
				r.note("broken: %s from machine %d reached %s %.2f s after the acknowledgement", s.id, s.node.index, leaver.id, one.at.Sub(acknowledged).Seconds())
			}
		}
	}
	r.note("%d requests sent later than drain at undisturbed machines, %d served, %d of them reached the endpoint that is gone", len(all), served, broken)
	if served < len(all)/2 {
		return false, errTooFewServed
	}
	return broken > 0, nil
}
