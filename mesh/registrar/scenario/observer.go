package scenario

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/group"
)

// instance is one incarnation of an address.
type instance struct {
	address     string
	incarnation uint64
}

type sighting struct {
	node     string
	instance instance
}

// Observer stands in for the data path of all nodes: it holds the sets published to each and records violations.
type Observer struct {
	views              map[string]map[string]group.Group // by node, then by data centre and service
	seenLeaving        map[sighting]bool                 // endpoints that a node has seen leaving
	latestIncarnations map[[2]string]uint64              // latest incarnation by node and address
	violations         []string
}

func newObserver() *Observer {
	return &Observer{
		views: map[string]map[string]group.Group{}, seenLeaving: map[sighting]bool{},
		latestIncarnations: map[[2]string]uint64{},
	}
}

// reset discards what the previous incarnation of a node has seen.
func (o *Observer) reset(address string) {
	o.views[address] = map[string]group.Group{}
	for s := range o.seenLeaving {
		if s.node == address {
			delete(o.seenLeaving, s)
		}
	}
	for l := range o.latestIncarnations {
		if l[0] == address {
			delete(o.latestIncarnations, l)
		}
	}
}

func (o *Observer) published(now time.Time, node string, value any) {
	g, ok := value.(group.Group)
	if !ok {
		return
	}
	key := g.DataCentre() + "/" + g.Service()
	old, known := o.views[node][key]
	if known && old.Replaces(g) {
		o.addViolation(now, node, "set %s went back from (%d, %d) to (%d, %d)",
			key, old.Epoch(), old.Sequence(), g.Epoch(), g.Sequence())
	}
	o.views[node][key] = g
	for _, e := range g.Endpoints() {
		l := [2]string{node, e.Address()}
		if latest := o.latestIncarnations[l]; e.Incarnation() < latest {
			o.addViolation(now, node, "endpoint %s went back from incarnation %d to %d", e.Address(), latest, e.Incarnation())
		}
		o.latestIncarnations[l] = e.Incarnation()
		s := sighting{node: node, instance: instance{address: e.Address(), incarnation: e.Incarnation()}}
		switch {
		case e.State() == endpoint.Leaving:
			o.seenLeaving[s] = true
		case o.seenLeaving[s]:
			o.addViolation(now, node, "endpoint %s came back as %s after leaving", e.Address(), e.State())
		}
	}
}

func (o *Observer) addViolation(now time.Time, node, format string, values ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s %s: ", now.Format("15:04:05.000"), node)+
		fmt.Sprintf(format, values...))
}

// Violations returns the violations so far: sets and incarnations that went back, departed endpoints that returned.
func (o *Observer) Violations() []string { return o.violations }

// SetCount returns the number of sets that a node holds.
func (o *Observer) SetCount(node string) int { return len(o.views[node]) }

// State returns the state that a node sees of an endpoint, or the empty state if it is in no set.
func (o *Observer) State(node, address string) endpoint.State {
	for _, g := range o.views[node] {
		for _, e := range g.Endpoints() {
			if e.Address() == address {
				return e.State()
			}
		}
	}
	return ""
}

// Endpoint returns the endpoint that a node sees at an address, and whether there is one.
func (o *Observer) Endpoint(node, address string) (endpoint.Endpoint, bool) {
	for _, g := range o.views[node] {
		for _, e := range g.Endpoints() {
			if e.Address() == address {
				return e, true
			}
		}
	}
	return endpoint.Endpoint{}, false
}

// ReadyEndpoints returns the addresses of the ready endpoints that a node sees, with their incarnations.
func (o *Observer) ReadyEndpoints(node string) map[string]uint64 {
	ready := map[string]uint64{}
	for _, g := range o.views[node] {
		for _, e := range g.Endpoints() {
			if e.State() == endpoint.Ready {
				ready[e.Address()] = e.Incarnation()
			}
		}
	}
	return ready
}

// SetVersion returns the epoch and sequence of the set that a node holds under a key such as r0-a/s0.
func (o *Observer) SetVersion(node, key string) [2]uint64 {
	g := o.views[node][key]
	return [2]uint64{g.Epoch(), g.Sequence()}
}
