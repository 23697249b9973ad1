package admitter

import (
	"math/bits"
	"net/http"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/snapshot"
)

// tally counts the outcomes of attempts until they are drained.
type tally struct {
	byKey copyOnWriteMap[outcome.Key, counters]
}

type counters struct {
	calls, failures, crashes, shed atomic.Uint64
	latency                        [outcome.Buckets]atomic.Uint64
}

func newCounters() *counters { return new(counters) }

// crashed is the dispatcher's reason for a call that was in flight when its upstream died.
const crashed = "crashed"

// add counts one attempt on the route at the endpoint. Refusals for reasons other than capacity, such as an endpoint
// that is leaving, count neither as calls nor as shed.
func (t *tally) add(m *snapshot.Member, route string, n answer.Answer, took time.Duration) {
	if n.Ran() == answer.No && n.Reason() != refusedFull && n.Reason() != refusedLate {
		return
	}
	e := m.Endpoint()
	c := t.byKey.get(outcome.Key{Service: e.Service(), Version: e.Version(), Route: route, Region: e.Region()}, newCounters)
	if n.Ran() == answer.No {
		c.shed.Add(1)
		return
	}
	c.calls.Add(1)
	c.latency[bucket(took)].Add(1)
	if n.Ran() == answer.Maybe || n.Status() >= http.StatusInternalServerError {
		c.failures.Add(1)
	}
	if n.Reason() == crashed {
		c.crashes.Add(1)
	}
}

// bucket returns the index i of the latency bucket: the smallest i with a latency below 1 ms << i.
func bucket(d time.Duration) int {
	return min(outcome.Buckets-1, bits.Len64(uint64(max(0, d)/time.Millisecond)))
}

// drain returns the nonzero counts since the last drain and resets them.
func (t *tally) drain() []outcome.Outcome {
	var os []outcome.Outcome
	for k, c := range t.byKey.all() {
		calls, shed := c.calls.Swap(0), c.shed.Swap(0)
		if calls+shed == 0 {
			continue
		}
		var latency [outcome.Buckets]uint64
		for i := range latency {
			latency[i] = c.latency[i].Swap(0)
		}
		os = append(os, outcome.New(k, calls, c.failures.Swap(0), c.crashes.Swap(0), shed, latency))
	}
	return os
}
