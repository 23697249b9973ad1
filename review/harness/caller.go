package main

import "time"

func init() { cases["caller"] = playCaller }

// playCaller sends one heartbeat of another writer, with a service that no configuration names, to a machine before
// the first configuration is written, and then requests from that machine. UNASKED is broken if an endpoint runs one of
// them with a Caller-Service that isn't the service of that machine.
func playCaller(r *run, trouble bool) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	for _, p := range []place{{"z-a", "r-a", "meldung"}, {"z-b", "r-a", "meldung"}, {"z-a", "r-a", "ergebnis"}, {"z-b", "r-a", "ergebnis"}} {
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
	time.Sleep(3 * time.Second)
	first := r.nodes[0]
	if trouble {
		body := beatBody(r.address(first.index, endpointPort), "fremd", "v1", first.place.zone, 12, "ready", 1, time.Now().UnixMilli())
		r.note("another writer: PUT /instances/i-fremd at machine %d: %s", first.index, body)
		r.announce("PUT", first, "i-fremd", body)
	}
	time.Sleep(time.Second)
	r.store.operate("config", "main", configuration(7, []string{"meldung", "ergebnis"},
		route{prefix: "/m/", kind: "safe", service: "meldung"}, route{prefix: "/e/", kind: "unsafe", service: "ergebnis"}))
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var all []sent
	for range 20 {
		for _, n := range r.nodes {
			all = append(all, r.send(n, "POST", "/e/1", "entry"), r.send(n, "GET", "/m/1", ""))
		}
		time.Sleep(250 * time.Millisecond)
	}
	runs := r.allRuns()
	answered, wrong, own := 0, 0, 0
	for _, s := range all {
		if s.status == 200 {
			answered++
		}
		for _, one := range runs[s.id] {
			if one.caller != s.node.place.service {
				wrong++
				r.note("broken: %s from machine %d of service %s ran at %s with Caller-Service %q", s.id, s.node.index, s.node.place.service, one.endpoint.id, one.caller)
			}
			if one.endpoint == r.endpoints[0] {
				own++
			}
		}
	}
	r.note("%d requests, %d answered with 200, %d run with a wrong Caller-Service; the endpoint beside machine %d ran %d", len(all), answered, wrong, first.index, own)
	if answered < len(all)/2 {
		return false, errTooFewServed
	}
	return wrong > 0, nil
}
