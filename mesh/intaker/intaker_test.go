package intaker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/slotter"
)

// upstream answers Check with its reason.
type upstream struct{ reason string }

func (u upstream) Check(context.Context, call.Call) string { return u.reason }
func (u upstream) Refuse(_ call.Call, reason string, wait time.Duration) answer.Answer {
	return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()})
}

func newIntaker(reason string) *Intaker {
	return &Intaker{Bodies: 2, checker: upstream{reason}, room: slotter.New(2)}
}

const (
	speed  = 39e6 / 8 // bytes a second of the host's link
	size   = 280e3    // bytes of a body
	window = 64e3     // bytes of one body that can be on their way
	useful = 600 * time.Millisecond
	limit  = 2 * time.Second
	step   = time.Millisecond
)

// wire is a link that the bodies on it share equally.
type wire struct {
	mutex sync.Mutex // guards the rest and the counts of play
	left  map[chan struct{}]float64
	wait  time.Duration // sum of what a small call would have waited at each step
	most  time.Duration
}

func (w *wire) add() chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	done := make(chan struct{})
	w.left[done] = size
	return done
}

func (w *wire) advance() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	wait := time.Duration(float64(len(w.left)) * window / speed * float64(time.Second))
	w.wait += wait
	w.most = max(w.most, wait)
	share := speed * step.Seconds() / float64(max(1, len(w.left)))
	for done, left := range w.left {
		if left -= share; left > 0 {
			w.left[done] = left
			continue
		}
		delete(w.left, done)
		close(done)
	}
}

// play sends bodies at the given rate for five seconds and returns what became of them and of small calls.
func play(t *testing.T, i *Intaker, perSecond int) string {
	t.Helper()
	var out string
	synctest.Test(t, func(t *testing.T) {
		w := &wire{left: map[chan struct{}]float64{}}
		inTime, late, refused, longest := 0, 0, 0, time.Duration(0)
		ends := make(chan struct{}, 1000)
		n := 5 * perSecond
		for k := range n {
			go func() {
				defer func() { ends <- struct{}{} }()
				time.Sleep(time.Duration(k) * time.Second / time.Duration(perSecond))
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				if i != nil {
					if _, ok := i.Acquire(ctx, call.New(call.Fields{Priority: 1, LatestStart: useful.Milliseconds()})); !ok {
						w.mutex.Lock()
						defer w.mutex.Unlock()
						refused++
						longest = max(longest, time.Since(begun))
						return
					}
				}
				granted := time.Now()
				<-w.add()
				if i != nil {
					i.Release(time.Since(granted))
				}
				w.mutex.Lock()
				defer w.mutex.Unlock()
				if time.Since(begun) <= useful {
					inTime++
				} else {
					late++
				}
			}()
		}
		steps := 0
		for done := 0; done < n; steps++ {
			time.Sleep(step)
			synctest.Wait()
			w.advance()
			synctest.Wait()
			for len(ends) > 0 {
				<-ends
				done++
			}
		}
		out = fmt.Sprintf("in time %3d, late %3d, refused %3d (the last after %d ms); a small call waits %d ms, at most %d ms",
			inTime, late, refused, longest.Milliseconds(), (w.wait / time.Duration(steps)).Milliseconds(), w.most.Milliseconds())
	})
	return out
}

// TestUploadsFillALink plays uploads of 280 KB for a host with a link of 39 Mbit/s, which carries 17.4 a second. It guards
// against bodies that all come at once, so that none is in time and the small calls to the host wait behind them.
func TestUploadsFillALink(t *testing.T) {
	var out strings.Builder
	for _, rate := range []int{12, 16, 18, 21, 30} {
		fmt.Fprintf(&out, "%d a second, all at once:   %s\n", rate, play(t, nil, rate))
		fmt.Fprintf(&out, "%d a second, two at a time: %s\n", rate, play(t, newIntaker(""), rate))
	}
	goldie.New(t).Assert(t, "uploads-fill-a-link", []byte(out.String()))
}

// TestRefused guards against bodies that are sent to an upstream which must not run their calls.
func TestRefused(t *testing.T) {
	i := newIntaker("leaving")
	a, ok := i.Acquire(t.Context(), call.New(call.Fields{LatestStart: 1000}))
	if ok || a.Ran() != answer.No || a.Reason() != "leaving" {
		t.Errorf("ok %v, ran %q, reason %q", ok, a.Ran(), a.Reason())
	}
	if n := i.room.Outstanding(); n != 0 {
		t.Errorf("%d bodies have room after the refusal", n)
	}
	if err := (&Intaker{}).Check(); err == nil {
		t.Error("no bodies at a time are accepted as a setting")
	}
}
