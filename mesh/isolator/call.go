package isolator

import (
	"context"
	"math/rand/v2"
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

// print returns the call's fingerprint if it has marks, and the empty string for other calls.
func (i *Isolator) print(c call.Call) string {
	marked := i.marked.Load()
	if marked == nil {
		return ""
	}
	p := guard.Print(c)
	if _, ok := (*marked)[p]; !ok {
		return ""
	}
	return p
}

// Enter waits until the call may run. It returns the call's number, which is 0 for a call without marks, or the reason
// why the call may not run. End must follow a number.
func (i *Isolator) Enter(ctx context.Context, c call.Call) (id uint64, reason string) {
	p := i.print(c)
	if p == "" {
		return 0, ""
	}
	id = rand.Uint64() | 1
	limit := time.NewTimer(holdLimit)
	defer limit.Stop()
	for {
		ruling, changed := i.ask(ctx, id, p, c.Left())
		switch ruling {
		case guard.Run:
			return 0, ""
		case guard.Alone:
			return id, ""
		case guard.Poison:
			poisonRefused.Inc(1)
			return 0, reasonPoison
		}
		again := time.NewTimer(holdInterval/2 + rand.N(holdInterval))
		select {
		case <-changed:
		case <-again.C:
		case <-limit.C:
			suspectRefused.Inc(1)
			return 0, reasonSuspect
		case <-ctx.Done():
			suspectRefused.Inc(1)
			return 0, reasonSuspect
		}
		again.Stop()
	}
}

// ask returns the ruling, Alone only with the permission of the witness, and a channel that ends with the next change.
func (i *Isolator) ask(ctx context.Context, id uint64, p string, left int64) (guard.Ruling, <-chan struct{}) {
	i.mutex.Lock()
	now := i.now()
	ruling := i.guard.Ask(now, id, p)
	witness, known := i.guard.Witness(now, p)
	changed := i.changed
	if ruling == guard.Alone {
		i.suspects[id] = suspect{print: p, witness: witness}
	}
	i.mutex.Unlock()
	if ruling != guard.Alone || i.permit(ctx, witness, known, id, p, left) {
		return ruling, changed
	}
	i.do(func(now time.Time) []effect.Effect {
		s := i.suspects[id]
		delete(i.suspects, id)
		i.guard.End(now, id, p, 0, guard.Unsent)
		i.signal()
		changed = i.changed
		// The permission may still be on its way.
		return i.giveBack(s, id)
	})
	return guard.Hold, changed
}

// Send notes that the call is about to be sent, and returns what End needs, or why it may not be sent after all.
func (i *Isolator) Send(id uint64, c call.Call) (epoch uint64, reason string) {
	if id == 0 {
		epoch = i.epoch.Load()
		// A mark may have come while the call waited for a slot.
		if i.print(c) != "" {
			suspectRefused.Inc(1)
			return 0, reasonSuspect
		}
		return epoch, ""
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.guard.Ask(i.now(), id, i.suspects[id].print) == guard.Poison {
		poisonRefused.Inc(1)
		return 0, reasonPoison
	}
	i.guard.Send(id)
	return i.guard.Epoch(), ""
}

// End notes the end of a call that was sent in the epoch. If it was in flight in a crash, End returns only after the
// other nodes have its mark, within limits, so that the caller does not send it again to a node without the mark.
func (i *Isolator) End(ctx context.Context, id, epoch uint64, c call.Call, e guard.Ending) {
	p := ""
	switch {
	case e == guard.Broken || e == guard.Crashed:
		p = guard.Print(c)
	case id == 0:
		if p = i.print(c); p == "" {
			return
		}
	}
	var out *news
	i.do(func(now time.Time) []effect.Effect {
		s, alone := i.suspects[id]
		if alone {
			p = s.print
			delete(i.suspects, id)
		}
		marks := i.guard.End(now, id, p, epoch, e)
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
		return i.giveBack(s, id)
	})
	if out != nil {
		out.await(ctx)
	}
}

func (i *Isolator) giveBack(s suspect, id uint64) []effect.Effect {
	if s.witness == i.node {
		i.guard.Return(s.print, id)
		return nil
	}
	return []effect.Effect{effect.NewSend(s.witness, message.New(kindReturn, &returnBody{Holder: id, Print: s.print}))}
}
