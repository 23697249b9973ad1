package main

import "time"

func init() { cases["stale"] = playStale }

// playStale takes the store down for 4.5 s, lets all be calm for 4 s, and then lets the store turn away three of nine
// machines for 9 s. A configuration is written at the beginning of that. CONFIG is broken if a machine that isn't turned
// away still handles requests by the older configuration later than configApply + skewMax after the acknowledgement.
func playStale(r *run, trouble bool) (bool, error) {
	const bound = 2500*time.Millisecond + 5*time.Second
	if err := r.startStore(); err != nil {
		return false, err
	}
	services := []string{"startlisten", "meldung", "ergebnis"}
	for i := range 9 {
		zone := string(rune('a' + i/3))
		n, err := r.newNode(place{"z-" + zone, "r-" + zone, services[i%3]})
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
	r.store.operate("config", "main", configuration(7, services, route{prefix: "/x/", kind: "safe", service: "meldung"}))
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		r.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		r.store.setDown(false)
	}
	time.Sleep(4 * time.Second)
	turnedAway := map[int]bool{1: true, 2: true, 3: true}
	if trouble {
		r.store.setRefused(1, 2, 3)
	}
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	r.store.operate("config", "main", configuration(9, services, route{prefix: "/x/", kind: "safe", service: "ergebnis"}))
	acknowledged := time.Now()
	r.store.resetCalls()
	results := make(chan []sent)
	for _, n := range r.nodes {
		go func() {
			var all []sent
			for time.Since(began) < 13*time.Second {
				all = append(all, r.send(n, "GET", "/x/1", ""))
				time.Sleep(150 * time.Millisecond)
			}
			results <- all
		}()
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	if trouble {
		r.store.noteCalls()
		r.store.setRefused()
	}
	var all []sent
	for range r.nodes {
		all = append(all, <-results...)
	}
	runs := r.allRuns()
	served, late, broken := 0, 0, 0
	for _, s := range all {
		if s.status == 200 {
			served++
		}
		if turnedAway[s.node.index] && trouble || s.at.Sub(acknowledged) <= bound {
			continue
		}
		late++
		for _, one := range runs[s.id] {
			if one.endpoint.service == "meldung" {
				broken++
				r.note("broken: %s, sent to machine %d %.2f s after the acknowledgement, ran at %s of the old service", s.id, s.node.index, s.at.Sub(acknowledged).Seconds(), one.endpoint.id)
			}
		}
	}
	r.note("%d requests, %d served; %d sent after the bound at machines with a path to the store, %d of them handled by the older version", len(all), served, late, broken)
	if served < len(all)/2 {
		return false, errTooFewServed
	}
	return broken > 0, nil
}
