package oracle

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/balancer"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/snapshot"
)

// moverCalls is the number of calls to the service that moves, for each node and tenth of a second.
const moverCalls = 4

type tally struct {
	calls, failures uint64
	latency         [outcome.Buckets]uint64
}

// call makes calls from every running node through the balancer.
func (f *Fleet) call() {
	now := f.sim.Now()
	for _, address := range f.sim.Nodes() {
		s := f.nodes[address].publisher.Snapshot()
		if s == nil || !f.running(address) {
			continue
		}
		for _, name := range services {
			count := 1
			if name == mover {
				count = moverCalls
			}
			for range count {
				if m := balancer.Pick(s, name, f.rand.IntN, now, nil); m != nil {
					f.promises.called(address, s, m)
					f.count(address, m)
				}
			}
		}
	}
}

// count lets the upstream answer a call and counts the outcome. A dead or paused one runs nothing.
func (f *Fleet) count(address string, m *snapshot.Member) {
	if !f.running(m.Address()) || f.nodes[m.Address()].upstream != endpoint.Ready {
		return
	}
	e := m.Endpoint()
	k := outcome.Key{Service: e.Service(), Version: e.Version(), Route: "lists", Region: e.Region()}
	ts := f.outcomes[address]
	if ts == nil {
		ts = map[outcome.Key]*tally{}
		f.outcomes[address] = ts
	}
	t := ts[k]
	if t == nil {
		t = &tally{}
		ts[k] = t
	}
	t.calls++
	t.latency[2+f.rand.IntN(3)]++
	chance := someFailure
	if e.Service() == mover && e.Version() == badVersion {
		chance = badFailures
	}
	if f.rand.Float64() < chance {
		t.failures++
	}
}

// report gives each node the outcomes of its calls, as the data path does.
func (f *Fleet) report() {
	for _, address := range f.sim.Nodes() {
		f.miss(address)
		ts := f.outcomes[address]
		delete(f.outcomes, address)
		if len(ts) == 0 || !f.running(address) {
			continue
		}
		var os []outcome.Outcome
		for k, t := range ts {
			os = append(os, outcome.New(k, t.calls, t.failures, 0, 0, t.latency))
		}
		slices.SortFunc(os, func(a, b outcome.Outcome) int { return compareKeys(a.Key(), b.Key()) })
		f.sim.Inject(address, event.NewLocal(event.Outcomes, os))
	}
}

// miss demands the services that the node has calls for and whose definition it lacks, as the data path does.
func (f *Fleet) miss(address string) {
	n := f.nodes[address]
	s := n.publisher.Snapshot()
	if s == nil || !f.running(address) {
		return
	}
	for _, name := range services {
		if n.demanded[name] && s.Pool(name) == nil {
			f.sim.Inject(address, event.NewLocal(event.SubscriptionNeeded, name))
		}
	}
}

func compareKeys(a, b outcome.Key) int {
	return slices.Compare([]string{a.Service, a.Version, a.Region}, []string{b.Service, b.Version, b.Region})
}

// rested reports whether the node has run without a pause for the time.
func (f *Fleet) rested(address string, d time.Duration) bool {
	return f.running(address) && f.sim.Now().Sub(f.nodes[address].resumed) > d
}
