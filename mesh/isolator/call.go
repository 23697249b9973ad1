package isolator

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/message"
)

// Reasons of refusals.
const (
	reasonPoison  = "poison"  // the call was in flight in two crashes
	reasonSuspect = "suspect" // the call was in flight in one crash and cannot run beside others now
)

const (
	// holdLimit is how long a suspect waits for its turn here before it is refused and may be tried elsewhere.
	holdLimit = 500 * time.Millisecond
	// holdInterval is the time between two questions to the witness, which does not tell when a permission is free.
	holdInterval = 50 * time.Millisecond
)

var (
	poisonRefused  = metrics.GetOrRegisterCounter("guard.poison", nil)
	suspectRefused = metrics.GetOrRegisterCounter("guard.suspect", nil)
	marksMade      = metrics.GetOrRegisterCounter("guard.marks", nil)
)

// suspect is a call with one mark that runs here.
type suspect struct {
	print   string
	witness string
}

// find reports whether the call has marks. It returns the fingerprint, which is taken only while there are any marks, as
// it takes about 1 ms per MB of the body.
func (i *Isolator) find(c call.Call, print string) (string, bool) {
	marked := i.marked.Load()
	if marked == nil {
		return print, false
	}
	if print == "" {
		print = guard.Fingerprint(c)
	}
	_, found := (*marked)[print]
	return print, found
}

// Admit waits until the call may run, and returns its pass or the reason why it may not run. AfterCall must follow a pass.
func (i *Isolator) Admit(ctx context.Context, c call.Call) (guard.Pass, string) {
	p, found := i.find(c, "")
	if !found {
		return guard.NewPass(0, p), ""
	}
	id := rand.Uint64() | 1
	limit := time.NewTimer(holdLimit)
	defer limit.Stop()
	for {
		ruling, changed := i.ask(ctx, id, p, c.TimeLeft())
		switch ruling {
		case guard.Run:
			return guard.NewPass(0, p), ""
		case guard.RunAlone:
			return guard.NewPass(id, p), ""
		case guard.Poison:
			poisonRefused.Inc(1)
			return guard.Pass{}, reasonPoison
		}
		again := time.NewTimer(holdInterval/2 + rand.N(holdInterval))
		select {
		case <-changed:
		case <-again.C:
		case <-limit.C:
			suspectRefused.Inc(1)
			return guard.Pass{}, reasonSuspect
		case <-ctx.Done():
			suspectRefused.Inc(1)
			return guard.Pass{}, reasonSuspect
		}
		again.Stop()
	}
}

// ask returns the ruling, RunAlone only with the permission of the witness, and a channel that ends with the next change.
func (i *Isolator) ask(ctx context.Context, id uint64, p string, left int64) (guard.Ruling, <-chan struct{}) {
	i.mutex.Lock()
	now := i.now()
	ruling := i.guard.Decide(now, id, p)
	witness, known := i.guard.Witness(now, p)
	changed := i.changed
	if ruling == guard.RunAlone {
		i.suspects[id] = suspect{print: p, witness: witness}
	}
	i.mutex.Unlock()
	if ruling != guard.RunAlone || i.permit(ctx, witness, known, id, p, left) {
		return ruling, changed
	}
	i.do(func(now time.Time) []effect.Effect {
		s := i.suspects[id]
		delete(i.suspects, id)
		i.guard.RecordEnd(now, id, p, 0, guard.Unsent)
		i.signal()
		changed = i.changed
		// The permission may still be on its way.
		return i.giveBack(s, id)
	})
	return guard.Hold, changed
}

// BeforeSend notes that the call is about to be sent and returns its pass for AfterCall, or why it may not be sent after all.
func (i *Isolator) BeforeSend(p guard.Pass, c call.Call) (guard.Pass, string) {
	if p.ID() == 0 {
		epoch := i.epoch.Load()
		print, found := i.find(c, p.Fingerprint())
		if found {
			// The mark has come while the call waited for a slot.
			suspectRefused.Inc(1)
			return p, reasonSuspect
		}
		return guard.NewPass(0, print).WithEpoch(epoch), ""
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.guard.Decide(i.now(), p.ID(), p.Fingerprint()) == guard.Poison {
		poisonRefused.Inc(1)
		return p, reasonPoison
	}
	i.guard.RecordSend(p.ID())
	return p.WithEpoch(i.guard.Epoch()), ""
}

// AfterCall notes how the call ended. If it was in flight in a crash, AfterCall returns only after the other nodes have its
// mark, within limits, so that the caller does not send it again to a node without the mark.
func (i *Isolator) AfterCall(ctx context.Context, p guard.Pass, c call.Call, e guard.Ending) {
	print, found := i.find(c, p.Fingerprint())
	if p.ID() == 0 && !found && (e == guard.Complete || e == guard.Unsent) {
		return
	}
	if print == "" {
		print = guard.Fingerprint(c)
	}
	var out *news
	i.do(func(now time.Time) []effect.Effect {
		s, alone := i.suspects[p.ID()]
		delete(i.suspects, p.ID())
		marks := i.guard.RecordEnd(now, p.ID(), print, p.Epoch(), e)
		i.signal()
		crashed := false
		for _, m := range marks {
			crashed = crashed || !m.Cleared()
		}
		if len(marks) > 0 {
			n := i.spread(marks)
			if crashed {
				out = n
				marksMade.Inc(1)
			}
		}
		if !alone || crashed {
			// After a crash the permission ends by itself, when the second mark has spread.
			return nil
		}
		return i.giveBack(s, p.ID())
	})
	if out != nil {
		// The query may hold what must not be logged.
		path, _, _ := strings.Cut(c.Path(), "?")
		i.log.Warn("call was in flight in a crash", "service", c.Service(), "method", c.Method(), "path", path, "print", print)
		out.await(ctx)
	}
}

func (i *Isolator) giveBack(s suspect, id uint64) []effect.Effect {
	if s.witness == i.node {
		i.guard.ReleasePermit(s.print, id)
		return nil
	}
	return []effect.Effect{effect.NewSend(s.witness, message.New(kindReturn, &returnBody{Holder: id, Fingerprint: s.print}))}
}
