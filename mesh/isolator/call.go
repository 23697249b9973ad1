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
	reasonSuspect = "suspect" // the call was in flight in one crash and got no permission to run in time
)

const (
	// maxHoldTime is how long a suspect waits on this node before it is refused and may be retried on another node.
	maxHoldTime = 500 * time.Millisecond
	// permitRetryInterval is the mean time between two requests to the witness, which sends no message when the
	// permission becomes free.
	permitRetryInterval = 50 * time.Millisecond
)

var (
	poisonRefused  = metrics.GetOrRegisterCounter("guard.poison", nil)
	suspectRefused = metrics.GetOrRegisterCounter("guard.suspect", nil)
	marksMade      = metrics.GetOrRegisterCounter("guard.marks", nil)
)

// suspect is a call with one mark that runs on this node.
type suspect struct {
	fingerprint string
	witness     string
}

// lookUp returns the call's fingerprint and whether it has marks. The fingerprint is computed only while there are any
// marks, as this takes about 1 ms per MB of the body.
func (i *Isolator) lookUp(c call.Call, fingerprint string) (string, bool) {
	marked := i.markedFingerprints.Load()
	if marked == nil {
		return fingerprint, false
	}
	if fingerprint == "" {
		fingerprint = guard.Fingerprint(c)
	}
	_, found := (*marked)[fingerprint]
	return fingerprint, found
}

// Admit waits until the call may run, and returns its pass or the reason for the refusal. After a pass, the caller must
// call AfterCall.
func (i *Isolator) Admit(ctx context.Context, c call.Call) (guard.Pass, string) {
	fingerprint, found := i.lookUp(c, "")
	if !found {
		return guard.NewPass(0, fingerprint), ""
	}
	id := rand.Uint64() | 1
	limit := time.NewTimer(maxHoldTime)
	defer limit.Stop()
	for {
		ruling, changed := i.decide(ctx, id, fingerprint, c.TimeLeft())
		switch ruling {
		case guard.Run:
			return guard.NewPass(0, fingerprint), ""
		case guard.RunAlone:
			return guard.NewPass(id, fingerprint), ""
		case guard.Poison:
			poisonRefused.Inc(1)
			return guard.Pass{}, reasonPoison
		}
		retry := time.NewTimer(permitRetryInterval/2 + rand.N(permitRetryInterval))
		select {
		case <-changed:
		case <-retry.C:
		case <-limit.C:
			suspectRefused.Inc(1)
			return guard.Pass{}, reasonSuspect
		case <-ctx.Done():
			suspectRefused.Inc(1)
			return guard.Pass{}, reasonSuspect
		}
		retry.Stop()
	}
}

// decide returns the ruling, and a channel that is closed at the next change. The ruling is RunAlone only with the
// permission of the witness.
func (i *Isolator) decide(
	ctx context.Context, id uint64, fingerprint string, timeLeft int64,
) (guard.Ruling, <-chan struct{}) {
	i.mutex.Lock()
	now := i.now()
	ruling := i.guard.Decide(now, id, fingerprint)
	witness, knownFor := i.guard.Witness(now, fingerprint)
	changed := i.changed
	if ruling == guard.RunAlone {
		i.runningSuspects[id] = suspect{fingerprint: fingerprint, witness: witness}
	}
	i.mutex.Unlock()
	if ruling != guard.RunAlone || i.requestPermit(ctx, witness, knownFor, id, fingerprint, timeLeft) {
		return ruling, changed
	}
	i.update(func(now time.Time) []effect.Effect {
		s := i.runningSuspects[id]
		delete(i.runningSuspects, id)
		i.guard.RecordEnd(now, id, fingerprint, 0, guard.Unsent)
		i.wakeWaiting()
		changed = i.changed
		// The witness may have granted the permission with a reply that has not arrived yet.
		return i.returnPermit(s, id)
	})
	return guard.Hold, changed
}

// BeforeSend records that the call is about to be sent. It returns its pass for AfterCall, or the reason why it may not
// be sent after all.
func (i *Isolator) BeforeSend(p guard.Pass, c call.Call) (guard.Pass, string) {
	if p.ID() == 0 {
		epoch := i.epoch.Load()
		fingerprint, found := i.lookUp(c, p.Fingerprint())
		if found {
			// The mark arrived while the call waited for a slot.
			suspectRefused.Inc(1)
			return p, reasonSuspect
		}
		return guard.NewPass(0, fingerprint).WithEpoch(epoch), ""
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

// AfterCall records how the call ended. If it was in flight in a crash, AfterCall waits until the other nodes have its
// mark, for at most guard.MaxSpreadTime, so that the caller does not resend it to a node without the mark.
func (i *Isolator) AfterCall(ctx context.Context, p guard.Pass, c call.Call, e guard.Ending) {
	fingerprint, found := i.lookUp(c, p.Fingerprint())
	if p.ID() == 0 && !found && (e == guard.Complete || e == guard.Unsent) {
		return
	}
	if fingerprint == "" {
		fingerprint = guard.Fingerprint(c)
	}
	var crashBatch *markBatch
	i.update(func(now time.Time) []effect.Effect {
		s, alone := i.runningSuspects[p.ID()]
		delete(i.runningSuspects, p.ID())
		marks := i.guard.RecordEnd(now, p.ID(), fingerprint, p.Epoch(), e)
		i.wakeWaiting()
		crashed := false
		for _, m := range marks {
			crashed = crashed || !m.Cleared()
		}
		if len(marks) > 0 {
			b := i.queueMarks(marks)
			if crashed {
				crashBatch = b
				marksMade.Inc(1)
			}
		}
		if !alone || crashed {
			// After a crash the permission is not returned: it expires when the second mark has spread.
			return nil
		}
		return i.returnPermit(s, p.ID())
	})
	if crashBatch != nil {
		// The query may contain data that must not be logged.
		path, _, _ := strings.Cut(c.Path(), "?")
		i.log.Warn("call was in flight in a crash",
			"service", c.Service(), "method", c.Method(), "path", path, "print", fingerprint)
		crashBatch.await(ctx)
	}
}

func (i *Isolator) returnPermit(s suspect, id uint64) []effect.Effect {
	if s.witness == i.node {
		i.guard.ReleasePermit(s.fingerprint, id)
		return nil
	}
	return []effect.Effect{effect.NewSend(s.witness, message.New(kindReturn, &returnBody{Holder: id, Fingerprint: s.fingerprint}))}
}
