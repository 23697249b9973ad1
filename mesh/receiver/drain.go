package receiver

import (
	"context"
	"strconv"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/pauser"
)

const (
	// drainDelay is how long a stopping node accepts new requests, so that callers can notice that it is not ready.
	drainDelay = 2300 * time.Millisecond
	// maxDrainDelayFraction bounds drainDelay by the time that calls may run, so that the last requests have time to end.
	maxDrainDelayFraction = 0.5
)

// Ready returns an error while callers should use another node.
func (r *Receiver) Ready() error {
	if r.draining.Load() {
		return fault.New(fault.Unavailable, "this node is stopping", "use another node")
	}
	return nil
}

// Drain answers the requests in progress and those of callers that have not yet noticed that the node is not ready. A
// request that cannot end before ctx does is refused when it arrives, and none is cut off without an answer.
func (r *Receiver) Drain(ctx context.Context) error {
	if r.listener == nil {
		return nil
	}
	calls := r.grace.Calls()
	if calls > 0 {
		end := time.Now().Add(calls)
		r.lastEnd.Store(&end)
		defer time.AfterFunc(calls, r.cutOff).Stop()
	}
	r.draining.Store(true)
	r.log.Info("drain begins", "active", r.active.Load(), "calls", calls.Milliseconds())
	// The result can be ignored, as the wait below reports a context that has ended.
	pauser.Pause(ctx, r.grace.Shorten(drainDelay, maxDrainDelayFraction))
	close(r.stop)
	// Waiting until no request is in progress would never end while callers keep coming.
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), strconv.FormatInt(r.active.Load(), 10)+" requests are cut off", "allow more time with --drain")
	}
}

// cutOff ends the requests that are still in progress shortly before the process must end.
func (r *Receiver) cutOff() {
	if n := r.active.Load(); n > 0 {
		cut.Inc(n)
		r.log.Warn("requests cut off", "active", n)
	}
	r.endRequests()
}
