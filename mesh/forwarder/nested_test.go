package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/slotter"
)

// busyMesh is a fake of nodes whose endpoints have a few slots.
type busyMesh struct {
	fakeMesh
	slotters     map[string]*slotter.Slotter
	serviceTimes map[string]time.Duration // by route
}

func (m *busyMesh) Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error) {
	s, begun := m.slotters[peer], time.Now()
	deadline, _ := ctx.Deadline()
	refusal, wait := s.Acquire(ctx, slotter.Request{
		Priority: c.Priority(), Deadline: deadline, LatestStart: begun.Add(time.Duration(c.LatestStart()) * time.Millisecond),
		MaxWait: time.Duration(c.MaxWait()) * time.Millisecond,
	})
	if refusal != "" {
		return answer.New(answer.Fields{
			Status: 503, Ran: answer.No, Reason: string(refusal), RetryAfter: wait.Milliseconds(), Outstanding: s.Outstanding(), Slots: s.Slots(),
		}), nil
	}
	took := m.serviceTimes[c.Route()]
	time.Sleep(took)
	s.Release(took)
	return answer.New(answer.Fields{
		Status: 200, Ran: answer.Yes, ServiceTime: took.Microseconds(), Outstanding: s.Outstanding(), Slots: s.Slots(),
	}), nil
}

// TestNestedCalls guards against calls of runs that are refused, which makes their runs fail, while an endpoint runs other
// requests. It answers the load "a service that other services call while they run requests gets 1.4 times the requests
// that it can run": the calls take a tenth of the requests' time and have a tenth of their objective. The share of refused
// calls varies with the arrivals, so several series of them count together.
func TestNestedCalls(t *testing.T) {
	var refused, ran [2]int
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { playNested(t, seed, &refused, &ran) })
	}
	t.Logf("requests: %d ran, %d were refused; nested calls: %d ran, %d were refused", ran[0], refused[0], ran[1], refused[1])
	if refused[1]*20 > ran[1] {
		t.Errorf("%d nested calls were refused, %d ran", refused[1], ran[1])
	}
	if ran[0] == 0 {
		t.Error("no request ran")
	}
}

// playNested sends one series of requests and nested calls, and counts both by their kind.
func playNested(t *testing.T, seed uint64, refused, ran *[2]int) {
	const endpoints, slots, seconds = 6, 7, 6
	const outerTime, nestedTime = 400 * time.Millisecond, 40 * time.Millisecond
	capacity := endpoints * slots / outerTime.Seconds()
	services := []rule.WeightedService{{Service: "s", Weight: 1}}
	outer := rule.New(rule.Fields{Name: "outer", Idempotent: true, Objective: 2 * time.Second, Attempts: 2, Services: services})
	nested := rule.New(rule.Fields{Name: "nested", Idempotent: true, Objective: 120 * time.Millisecond, Attempts: 2, Services: services})
	m := &busyMesh{
		slotters: map[string]*slotter.Slotter{}, serviceTimes: map[string]time.Duration{"outer": outerTime, "nested": nestedTime},
	}
	for i := range endpoints {
		m.slotters[fmt.Sprint("node-", i)] = slotter.New(slots)
	}
	f, v := newForwarder(m)
	f.Even = true
	choices := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex // guards choices
	f.random = func(n int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return choices.IntN(n)
	}
	ends := make(chan func())
	send := func(kind int, r *rule.Rule, timeLeft time.Duration, c call.Fields) {
		ctx, cancel := context.WithTimeout(t.Context(), timeLeft)
		defer cancel()
		c.TimeLeft = timeLeft.Milliseconds()
		a := f.Forward(ctx, v, r, c)
		ends <- func() {
			if a.Ran() == answer.Yes {
				ran[kind]++
			} else {
				refused[kind]++
			}
		}
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	started := 0
	for begun := time.Now(); time.Since(begun) < seconds*time.Second; started++ {
		if arrivals.Float64() < 0.5 {
			go send(0, outer, 6*time.Second, call.Fields{Priority: 3})
		} else {
			go send(1, nested, 400*time.Millisecond, call.Fields{Priority: 0, Nested: true})
		}
		pause := time.Duration(arrivals.ExpFloat64() * float64(time.Second) / (2 * 1.4 * capacity))
		for timer := time.After(pause); timer != nil; {
			select {
			case count := <-ends:
				count()
				started--
			case <-timer:
				timer = nil
			}
		}
	}
	for range started {
		(<-ends)()
	}
}
