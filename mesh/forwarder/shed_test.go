package forwarder

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/rule"
)

// sheddingMesh is a fake of nodes whose endpoints refuse a fraction of the calls though they have free slots.
type sheddingMesh struct {
	fakeMesh
	random   *rand.Rand
	fraction float64
	took     time.Duration
	arrivals int
}

func (m *sheddingMesh) Call(_ context.Context, _ string, _ call.Call) (answer.Answer, error) {
	m.mutex.Lock()
	m.arrivals++
	shed := m.random.Float64() < m.fraction
	m.mutex.Unlock()
	if shed {
		return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: exchanger.ReasonShed, Slots: 4}), nil
	}
	time.Sleep(m.took)
	return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, ServiceTime: m.took.Microseconds(), Slots: 4}), nil
}

// TestAllEndpointsShed guards against requests that are refused, or answered after their objective, although their callers
// come back. It answers the load "all endpoints of a service refuse 55% of the calls": with three attempts 1 - 0.55^3 of the
// requests, or 83%, run without any retry of the mesh.
func TestAllEndpointsShed(t *testing.T) {
	const requests, attempts = 2000, 3
	const objective, deadline = 400 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		m := &sheddingMesh{random: rand.New(rand.NewPCG(1, 1)), fraction: 0.55, took: 120 * time.Millisecond}
		f, v := newForwarder(m)
		f.Even, f.RepeatRatio, f.RepeatReserve, f.RepeatWindow = true, 0.2, 0, 10*time.Second
		random := rand.New(rand.NewPCG(2, 2))
		f.random = random.IntN
		r := rule.New(rule.Fields{Name: "r", Idempotent: true, Objective: objective, Attempts: 3, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
		// Attempts don't overlap, as the fake endpoints have no load.
		served, inTime, sent := 0, 0, 0
		for range requests {
			begun := time.Now()
			for range attempts {
				left := deadline - time.Since(begun)
				ctx, cancel := context.WithTimeout(t.Context(), left)
				a := f.Forward(ctx, v, r, call.Fields{TimeLeft: left.Milliseconds()})
				cancel()
				sent++
				if a.Status() == 200 {
					served++
					if time.Since(begun) <= objective {
						inTime++
					}
					break
				}
				time.Sleep(min(time.Duration(a.RetryAfter())*time.Millisecond, (deadline-time.Since(begun))/3))
			}
		}
		t.Logf("of %d requests %d were served, %d in time, with %d attempts and %d arrivals", requests, served, inTime, sent, m.arrivals)
		if float64(served) < 0.83*requests || float64(inTime) < 0.83*requests {
			t.Errorf("of %d requests %d were served, %d in time", requests, served, inTime)
		}
		if float64(m.arrivals) > 1.2*float64(sent)+attempts {
			t.Errorf("%d arrivals of %d requests", m.arrivals, sent)
		}
	})
}
