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

// upstream is a checker that returns a fixed reason.
type upstream struct{ reason string }

func (u upstream) Check(context.Context, call.Call) string { return u.reason }
func (u upstream) Refuse(_ call.Call, reason string, wait time.Duration) answer.Answer {
	return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()})
}

func newIntaker(reason string) *Intaker {
	return &Intaker{Bodies: 2, checker: upstream{reason}, slots: slotter.New(2)}
}

const (
	bytesPerSecond = 39e6 / 8 // of the host's link
	bodyBytes      = 280e3
	windowBytes    = 64e3 // of one body that can be in flight
	objective      = 600 * time.Millisecond
	timeout        = 2 * time.Second
	step           = time.Millisecond
)

// link is a network link whose bandwidth the bodies on it share equally.
type link struct {
	mutex     sync.Mutex // guards the other fields and the counts of simulate
	bytesLeft map[chan struct{}]float64
	waitSum   time.Duration // sum over all steps of the time that a small call would have waited
	maxWait   time.Duration
}

func (l *link) add() chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	done := make(chan struct{})
	l.bytesLeft[done] = bodyBytes
	return done
}

func (l *link) advance() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := time.Duration(float64(len(l.bytesLeft)) * windowBytes / bytesPerSecond * float64(time.Second))
	l.waitSum += wait
	l.maxWait = max(l.maxWait, wait)
	share := bytesPerSecond * step.Seconds() / float64(max(1, len(l.bytesLeft)))
	for done, left := range l.bytesLeft {
		if left -= share; left > 0 {
			l.bytesLeft[done] = left
			continue
		}
		delete(l.bytesLeft, done)
		close(done)
	}
}

// simulate sends bodies at the given rate for five seconds and returns their outcomes and the waits of small calls. A
// nil Intaker sends all bodies at once.
func simulate(t *testing.T, i *Intaker, perSecond int) string {
	t.Helper()
	var out string
	synctest.Test(t, func(t *testing.T) {
		l := &link{bytesLeft: map[chan struct{}]float64{}}
		inTime, late, refused, longestRefusal := 0, 0, 0, time.Duration(0)
		ends := make(chan struct{}, 1000)
		n := 5 * perSecond
		for k := range n {
			go func() {
				defer func() { ends <- struct{}{} }()
				time.Sleep(time.Duration(k) * time.Second / time.Duration(perSecond))
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if i != nil {
					if _, ok := i.Acquire(ctx, call.New(call.Fields{Priority: 1, LatestStart: objective.Milliseconds()})); !ok {
						l.mutex.Lock()
						defer l.mutex.Unlock()
						refused++
						longestRefusal = max(longestRefusal, time.Since(began))
						return
					}
				}
				granted := time.Now()
				<-l.add()
				if i != nil {
					i.Release(time.Since(granted))
				}
				l.mutex.Lock()
				defer l.mutex.Unlock()
				if time.Since(began) <= objective {
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
			l.advance()
			synctest.Wait()
			for len(ends) > 0 {
				<-ends
				done++
			}
		}
		out = fmt.Sprintf("in time %3d, late %3d, refused %3d (the last after %d ms); a small call waits %d ms, at most %d ms",
			inTime, late, refused, longestRefusal.Milliseconds(), (l.waitSum / time.Duration(steps)).Milliseconds(), l.maxWait.Milliseconds())
	})
	return out
}

// TestUploadsFillALink guards against bodies that are all received at once, so that most of them are late and the small
// calls to the host wait behind them. It simulates uploads of 280 KB over a link of 39 Mbit/s, enough for 17.4/s.
func TestUploadsFillALink(t *testing.T) {
	var out strings.Builder
	for _, rate := range []int{12, 16, 18, 21, 30} {
		fmt.Fprintf(&out, "%d a second, all at once:   %s\n", rate, simulate(t, nil, rate))
		fmt.Fprintf(&out, "%d a second, two at a time: %s\n", rate, simulate(t, newIntaker(""), rate))
	}
	goldie.New(t).Assert(t, "uploads-fill-a-link", []byte(out.String()))
}

// TestRefused guards against bodies that are received for calls which the upstream must not run.
func TestRefused(t *testing.T) {
	i := newIntaker("leaving")
	a, ok := i.Acquire(t.Context(), call.New(call.Fields{LatestStart: 1000}))
	if ok || a.Ran() != answer.No || a.Reason() != "leaving" {
		t.Errorf("ok %v, ran %q, reason %q", ok, a.Ran(), a.Reason())
	}
	if n := i.slots.Outstanding(); n != 0 {
		t.Errorf("%d bodies are admitted after the refusal", n)
	}
	if err := (&Intaker{}).Check(); err == nil {
		t.Error("--bodies 0 is accepted")
	}
}
