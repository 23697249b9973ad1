package linker

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/fasthttp/websocket"

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
	case l.urgent <- outgoingFrame{data: binary.BigEndian.AppendUint64(nil, id), control: websocket.PingMessage}:
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

// isRoundTrip reports whether a ping or pong with the payload belongs to a round trip; others are probes of checkAlive.
func isRoundTrip(payload string) bool { return len(payload) == 8 }

// queuePong answers the ping of a round trip. The pong waits behind the cancel frames that are queued already, which a
// pong written by the reader would overtake. Without room for it, the peer's round trip ends with the call's context.
func (l *link) queuePong(payload string) {
	select {
	case l.urgent <- outgoingFrame{data: []byte(payload), control: websocket.PongMessage}:
	default:
	}
}

// endRoundTrip ends the round trip that the payload of a pong belongs to.
func (l *link) endRoundTrip(payload string) {
	if !isRoundTrip(payload) {
		return
	}
	if answered, ok := l.roundTrips.LoadAndDelete(binary.BigEndian.Uint64([]byte(payload))); ok {
		close(answered.(chan struct{}))
	}
}
