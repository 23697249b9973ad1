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

// rolloutServiceCalls is the number of calls per node and 100 ms to the service that is rolled out.
const rolloutServiceCalls = 4

type tally struct {
	calls, failures uint64
	latency         [outcome.Buckets]uint64
}

// makeCalls makes calls from every running node through the balancer.
func (f *Fleet) makeCalls() {
	now := f.sim.Now()
	for _, address := range f.sim.Nodes() {
		s := f.nodes[address].publisher.Snapshot()
		if s == nil || !f.running(address) {
			continue
		}
		for _, name := range services {
			calls := 1
			if name == rolloutService {
				calls = rolloutServiceCalls
			}
			for range calls {
				if m := balancer.Pick(s, name, f.rand.IntN, now, nil); m != nil {
					f.checker.checkCall(address, s, m)
					f.recordOutcome(address, m)
				}
			}
		}
	}
}

// recordOutcome simulates the upstream's response and counts it. Only ready upstreams of running nodes respond.
func (f *Fleet) recordOutcome(address string, m *snapshot.Member) {
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
	chance := normalFailureRate
	if e.Service() == rolloutService && e.Version() == badVersion {
		chance = badVersionFailureRate
	}
	if f.rand.Float64() < chance {
		t.failures++
	}
}

// reportOutcomes passes the outcomes of its calls to each node, as the data path does.
func (f *Fleet) reportOutcomes() {
	for _, address := range f.sim.Nodes() {
		f.requestMissingDefinitions(address)
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

// requestMissingDefinitions requests subscriptions to needed services that the snapshot lacks, as the data path does.
func (f *Fleet) requestMissingDefinitions(address string) {
	n := f.nodes[address]
	s := n.publisher.Snapshot()
	if s == nil || !f.running(address) {
		return
	}
	for _, name := range services {
		if n.neededServices[name] && s.Pool(name) == nil {
			f.sim.Inject(address, event.NewLocal(event.SubscriptionNeeded, name))
		}
	}
}

func compareKeys(a, b outcome.Key) int {
	return slices.Compare([]string{a.Service, a.Version, a.Region}, []string{b.Service, b.Version, b.Region})
}

// runningFor reports whether the node has run without interruption for longer than d.
func (f *Fleet) runningFor(address string, d time.Duration) bool {
	return f.running(address) && f.sim.Now().Sub(f.nodes[address].runningSince) > d
}
