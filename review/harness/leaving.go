package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving has an endpoint report that it is gone, then kills all processes at the same moment, starts them again
// after 2 s, and lets a heartbeat arrive that the endpoint had sent before its report. The endpoint serves for 12 s after
// the acknowledgement. DRAIN is broken if a request reaches it later than drain after the acknowledgement, sent by a
// machine whose process has run for stabilityWindow.
func playLeaving(r *run, trouble bool) (bool, error) {
	const drain, stabilityWindow = 2500 * time.Millisecond, 3 * time.Second
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
	delayed := leaver.nextBeat("ready")
	time.Sleep(200 * time.Millisecond)
	if !leaver.leave() {
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	r.note("the report of %s is acknowledged; it goes on to serve for 12 s", leaver.id)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		var group sync.WaitGroup
		for _, n := range r.nodes {
			group.Go(n.kill)
		}
		group.Wait()
		time.Sleep(2 * time.Second)
		if err := r.startAll(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		r.note("the delayed heartbeat of %s arrives: %s", leaver.id, delayed)
		r.announce(http.MethodPut, leaver.node, leaver.id, delayed)
	}
	from := acknowledged.Add(drain)
	if t := started.Add(stabilityWindow); trouble && t.After(from) {
		from = t
	}
	from = from.Add(100 * time.Millisecond)
	time.Sleep(time.Until(from))
	var all []sent
	for time.Since(acknowledged) < 11500*time.Millisecond {
		for _, n := range r.nodes {
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
			if one.endpoint == leaver {
				broken++
				r.note("broken: %s from machine %d reached %s %.2f s after the acknowledgement", s.id, s.node.index, leaver.id, one.at.Sub(acknowledged).Seconds())
			}
		}
	}
	r.note("%d requests sent later than drain, %d served, %d of them reached the endpoint that is gone", len(all), served, broken)
	if served < len(all)/2 {
		return false, errTooFewServed
	}
	return broken > 0, nil
}
