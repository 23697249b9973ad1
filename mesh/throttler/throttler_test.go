package throttler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

type fakeRefuser struct{}

func (fakeRefuser) Refuse(_ call.Call, reason string, wait time.Duration) answer.Answer {
	return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()})
}

// link is a host's network link, which sends bytes in the order in which they are handed to it.
type link struct {
	mutex  sync.Mutex
	freeAt time.Time
}

// send returns when the bytes have left.
func (l *link) send(bytes int) {
	const bitsPerSecond = 11e6
	l.mutex.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / bitsPerSecond * 1e9))
	end := l.freeAt
	l.mutex.Unlock()
	time.Sleep(time.Until(end))
}

// results counts how the calls of one kind ended.
type results struct {
	asked, inTime, late, refused int
}

// TestLargeAnswersOverLink answers the load of a host whose large answers, 20 a second of 90 KB, are more than its link
// of 11 Mbit/s carries, beside 40 small calls a second that have 300 ms. The best that the link allows is 15 large answers
// a second in time, and all small ones.
func TestLargeAnswersOverLink(t *testing.T) {
	var out strings.Builder
	for _, rate := range []float64{0, 11} {
		var large, small results
		synctest.Test(t, func(t *testing.T) {
			h := &Throttler{LinkRate: rate, refuser: fakeRefuser{}}
			l, random := &link{}, rand.New(rand.NewPCG(1, 2))
			var mutex sync.Mutex
			var calls sync.WaitGroup
			run := func(r *results, route string, bytes int, service, objective, deadline time.Duration) {
				defer calls.Done()
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				c := call.New(call.Fields{
					Route: route, ExpectedServiceTime: service.Microseconds(),
					LatestStart: (objective - time.Duration(serviceTimeFactor*float64(service))).Milliseconds(),
				})
				reservation, _, ok := h.Reserve(ctx, c)
				if ok {
					time.Sleep(service)
					if h.Send(ctx, c, reservation, bytes) == nil {
						l.send(bytes)
					}
				}
				mutex.Lock()
				defer mutex.Unlock()
				r.asked++
				switch {
				case !ok:
					r.refused++
				case time.Since(began) <= objective:
					r.inTime++
				default:
					r.late++
				}
			}
			for i := range 1200 {
				calls.Add(1)
				if i%3 == 0 {
					go run(&large, "large", 30_000+random.IntN(120_000), 90*time.Millisecond, 800*time.Millisecond, 2500*time.Millisecond)
				} else {
					go run(&small, "small", 400, 27*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond)
				}
				time.Sleep(time.Duration(random.Int64N(int64(time.Second / 30))))
			}
			calls.Wait()
			if h.reserved != 0 {
				t.Errorf("%d bytes are still reserved", h.reserved)
			}
		})
		fmt.Fprintf(&out, "rate %2.0f: large %+v, small %+v\n", rate, large, small)
	}
	goldie.New(t).Assert(t, "load", []byte(out.String()))
}

// TestReserve guards against calls that are refused while their answers could leave in time, and against answers that use
// up the link although they are late.
func TestReserve(t *testing.T) {
	const million = 1_000_000 // bytes, 0.86 s on the link
	var out strings.Builder
	for _, c := range []struct {
		name        string
		sent        int // bytes that are on their way
		latestStart time.Duration
		deadline    time.Duration
	}{
		{"idle link", 0, time.Second, 3 * time.Second},
		{"short backlog", million / 4, time.Second, 3 * time.Second},
		{"backlog beyond the objective", 2 * million, time.Second, 3 * time.Second},
		{"late, idle link", 0, -time.Second, 3 * time.Second},
		{"late, backlog", million, -time.Second, 3 * time.Second},
		{"no time left", 0, time.Second, 300 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := &Throttler{LinkRate: 11, refuser: fakeRefuser{}}
			h.sizes.Observe("r", million/2)
			f := call.New(call.Fields{Route: "r", ExpectedServiceTime: 100_000, LatestStart: c.latestStart.Milliseconds()})
			if err := h.Send(t.Context(), call.New(call.Fields{Route: "other"}), 0, c.sent); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			_, refusal, ok := h.Reserve(ctx, f)
			fmt.Fprintf(&out, "%-28s runs %v, refusal %q after %d ms\n", c.name, ok, refusal.Reason(), refusal.RetryAfter())
		})
	}
	goldie.New(t).Assert(t, "reserve", []byte(out.String()))
}

// TestReserveMemory guards against a call that runs although its large answer would find no memory, and against small
// answers, or the first of a route, that are refused then.
func TestReserveMemory(t *testing.T) {
	for _, rate := range []float64{0, 1000} {
		h := &Throttler{LinkRate: rate, refuser: fakeRefuser{}, holder: holder.New(18 << 20)}
		h.sizes.Observe("large", 7<<20)
		h.sizes.Observe("small", 5<<10)
		hold := h.holder.Force(12 << 20)
		for _, c := range []struct {
			route string
			runs  bool
		}{{"large", false}, {"small", true}, {"new", true}} {
			_, refusal, ok := h.Reserve(t.Context(), call.New(call.Fields{Route: c.route}))
			if ok != c.runs || !ok && (refusal.Ran() != answer.No || refusal.Reason() != holder.Reason || refusal.RetryAfter() == 0) {
				t.Errorf("rate %g, %s: runs %v, %s", rate, c.route, ok, refusal.Reason())
			}
		}
		hold.Release()
		if _, _, ok := h.Reserve(t.Context(), call.New(call.Fields{Route: "large"})); !ok {
			t.Errorf("rate %g: refused with memory", rate)
		}
	}
}
