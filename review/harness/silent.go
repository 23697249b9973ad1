package main

import "time"

func init() { cases["silent"] = playSilent }

// playSilent lets all open connections between the machines go silent for good, while new ones work, and writes a
// configuration 1 s later. CONFIG is broken if a request that is sent later than stabilityWindow after the silence and
// later than configApply after the acknowledgement is handled by the older configuration.
func playSilent(r *run, trouble bool) (bool, error) {
	const configApply, stabilityWindow, margin = 2500 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond
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
		if err := n.useProxy(); err != nil {
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
	time.Sleep(12 * time.Second)
	silenced := time.Now()
	if trouble {
		count := 0
		for _, n := range r.nodes {
			count += n.proxy.silence()
		}
		r.note("all %d connections between machines are silent from now on; new ones work", count)
	}
	time.Sleep(time.Second)
	r.store.operate("config", "main", configuration(9, services, route{prefix: "/x/", kind: "safe", service: "ergebnis"}))
	acknowledged := time.Now()
	from := acknowledged.Add(configApply + margin)
	if t := silenced.Add(stabilityWindow + margin); t.After(from) {
		from = t
	}
	results := make(chan []sent)
	for _, n := range r.nodes {
		go func() {
			var all []sent
			for time.Since(silenced) < 10*time.Second {
				all = append(all, r.send(n, "GET", "/x/1", ""))
				time.Sleep(100 * time.Millisecond)
			}
			results <- all
		}()
	}
	var all []sent
	for range r.nodes {
		all = append(all, <-results...)
	}
	runs := r.allRuns()
	statuses := map[int]int{}
	late, broken := 0, 0
	for _, s := range all {
		statuses[s.status]++
		if s.at.Before(from) {
			continue
		}
		late++
		for _, one := range runs[s.id] {
			if one.endpoint.service == "meldung" {
				broken++
				r.note("broken: %s, sent to machine %d (%s) %.2f s after the acknowledgement and %.2f s after the silence, ran at %s of the old service",
					s.id, s.node.index, s.node.place.region, s.at.Sub(acknowledged).Seconds(), s.at.Sub(silenced).Seconds(), one.endpoint.id)
			}
		}
	}
	r.note("%d requests, by status %v; %d sent after the bound, %d of them handled by the older version", len(all), statuses, late, broken)
	return broken > 0, nil
}
