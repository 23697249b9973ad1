package linker

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

// maxTransit is the time in transit above which a call runs only once its caller is known to wait still: the caller may
// have left meanwhile, with the cancel frame held up behind the call.
const maxTransit = 250 * time.Millisecond

// unconfirmed is the answer to a call that was held up and whose caller is not known to wait.
var unconfirmed = answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonHeldUp})

// subtractTime returns the call with the time d taken off its deadline and its latest start.
func subtractTime(c call.Call, d time.Duration) call.Call {
	f := c.Fields()
	f.LatestStart -= d.Milliseconds()
	if f.TimeLeft > 0 {
		// Zero would mean no deadline.
		f.TimeLeft = max(1, f.TimeLeft-d.Milliseconds())
	}
	return call.New(f)
}

// confirm reports whether the caller of a call that was held up still waits. A round trip on the link shows it: the
// pong arrives behind the cancel frame of a caller that had left before the ping arrived.
func (l *link) confirm(ctx context.Context, c call.Call, transit time.Duration) bool {
	begun := time.Now()
	ok := l.roundTrip(ctx) && ctx.Err() == nil
	callsDelayed.Inc(1)
	l.owner.log.Info("call held up", "id", c.RequestID(), "peer", l.peer.address, "transit", transit.Milliseconds(),
		"waited", time.Since(begun).Milliseconds(), "left", c.TimeLeft(), "confirmed", ok)
	return ok
}

// roundTrip waits until the peer has answered a ping that was sent after roundTrip was called, and with it all frames
// have arrived that the peer had written before; it reports false if ctx ends first.
func (l *link) roundTrip(ctx context.Context) bool {
	id, answered := l.roundTripIDs.Add(1), make(chan struct{})
	l.roundTrips.Store(id, answered)
	defer l.roundTrips.Delete(id)
	select {
	case l.urgent <- outgoingFrame{data: binary.BigEndian.AppendUint64(nil, id), ping: true}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// endRoundTrip ends the round trip that the payload of a pong belongs to; other pongs answer the probes of checkAlive.
func (l *link) endRoundTrip(payload string) {
	if len(payload) != 8 {
		return
	}
	if answered, ok := l.roundTrips.LoadAndDelete(binary.BigEndian.Uint64([]byte(payload))); ok {
		close(answered.(chan struct{}))
	}
}
