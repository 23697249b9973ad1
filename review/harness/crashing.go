package main

import (
	"sort"
	"time"
)

func init() { cases["crashing"] = playCrashing }

// playCrashing sends a request every 2 s that crashes each endpoint which begins to run it, and checks how often nodes
// send it once more. BUDGET is broken if it reaches endpoints in more than three such retries later than stabilityWindow
// after it has crashed the third endpoint. Other requests go on meanwhile.
func playCrashing(r *run, trouble bool) (bool, error) {
	const stabilityWindow, retriesAllowed = 3 * time.Second, 3
	if err := r.startStore(); err != nil {
		return false, err
	}
	services := []string{"startlisten", "meldung", "meldung"}
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
		e.work, e.downFor = 100*time.Millisecond, 3*time.Second
		if trouble && n.place.service == "meldung" {
			e.crashes = "/m/crash"
		}
		if err := n.start(); err != nil {
			return false, err
		}
		go e.beatUntilStopped()
	}
	r.store.operate("config", "main", configuration(7, []string{"startlisten", "meldung"},
		route{prefix: "/m/", kind: "safe", service: "meldung"}, route{prefix: "/u/", kind: "unsafe", service: "meldung"}))
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	entries := []*node{r.nodes[0], r.nodes[3], r.nodes[6]}
	end := time.Now().Add(40 * time.Second)
	others := make(chan []sent)
	for _, n := range entries {
		go func() {
			var all []sent
			for time.Now().Before(end) {
				all = append(all, r.send(n, "GET", "/m/1", ""), r.send(n, "POST", "/u/1", "entry"))
				time.Sleep(50 * time.Millisecond)
			}
			others <- all
		}()
	}
	crashers := map[string]bool{}
	for i := 0; time.Now().Before(end); i++ {
		began := time.Now()
		crashers[r.send(entries[i%len(entries)], "GET", "/m/crash", "").id] = true
		time.Sleep(time.Until(began.Add(2 * time.Second)))
	}
	statuses := map[int]int{}
	count := 0
	for range entries {
		for _, s := range <-others {
			statuses[s.status]++
			count++
		}
	}
	type arrival struct {
		runEntry
		retry bool
	}
	var arrivals []arrival
	for id, runs := range r.allRuns() {
		if !crashers[id] {
			continue
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
		for i, one := range runs {
			arrivals = append(arrivals, arrival{one, i > 0})
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	retries := 0
	if trouble && len(arrivals) >= 3 {
		from := arrivals[2].at.Add(stabilityWindow)
		for _, a := range arrivals {
			if a.retry && a.at.After(from) {
				retries++
				r.note("retry %d: %s reached endpoint %s %.1f s after the third crash", retries, a.id, a.endpoint.id, a.at.Sub(arrivals[2].at).Seconds())
			}
		}
	}
	lost := 0
	for _, e := range r.endpoints {
		e.mutex.Lock()
		lost += e.lost
		e.mutex.Unlock()
	}
	r.note("%d requests that crash, %d arrivals, %d retries later than the window (%d are allowed); %d other requests, by status %v; %d of them were running at endpoints that crashed",
		len(crashers), len(arrivals), retries, retriesAllowed, count, statuses, lost)
	if !trouble && statuses[200] < count*9/10 {
		return false, errTooFewServed
	}
	return retries > retriesAllowed, nil
}
