package linker

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
)

// maxCallAttempts bounds the connections of a peer that are tried for a call that was not written.
const maxCallAttempts = 3

// The states of a pending call; it leaves stateQueued exactly once.
const (
	stateQueued  int32 = iota
	stateWriting       // the writer has begun to write it, so the peer may receive it
	stateUnsent        // it was not and will not be written
)

// pendingCall is one call that awaits its answer.
type pendingCall struct {
	state    atomic.Int32
	done     chan answer.Answer // capacity 1; at most one value, as the reader removes the call before it sends
	declined chan struct{}      // closed when the writer declines to write the call
	granted  chan struct{}      // capacity 1; signalled when the peer grants the body of an offered call
	offered  bool               // an offer of the call was queued for the peer
}

func newPendingCall() *pendingCall {
	return &pendingCall{done: make(chan answer.Answer, 1), declined: make(chan struct{}), granted: make(chan struct{}, 1)}
}

// claim reports whether the writer may write the call; with decline it declines the call.
func (p *pendingCall) claim(decline bool) bool {
	if !decline {
		return p.state.CompareAndSwap(stateQueued, stateWriting)
	}
	if p.state.CompareAndSwap(stateQueued, stateUnsent) {
		close(p.declined)
	}
	return false
}

// withdraw keeps a queued call from being written and reports whether it is certain that the call is never written.
func (p *pendingCall) withdraw() bool {
	return p.state.CompareAndSwap(stateQueued, stateUnsent) || p.state.Load() == stateUnsent
}

// Call sends c to the node at address peer and waits for its answer.
//
// Errors are a fault of kind NotRun only if no byte of c was written to a connection, and of kind MayHaveRun otherwise.
// When ctx ends first, Call asks the peer to cancel the handler. A deadline of ctx replaces c.TimeLeft.
func (l *Linker) Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error) {
	if l.rejectOutbound.Load() {
		return answer.Answer{}, notRun(nil, "this node is stopping")
	}
	p, purpose := l.peer(peer), calls
	if len(c.Body()) >= offerMinBytes {
		purpose = bodies
	}
	for range maxCallAttempts {
		k, err := p.pickLink(ctx, purpose)
		if err != nil {
			return answer.Answer{}, err
		}
		if ctx.Err() != nil {
			return answer.Answer{}, notRun(ctx.Err(), "the caller left while the connection was chosen")
		}
		a, sent, err := k.tryCall(ctx, c)
		if sent || err != nil {
			return a, err
		}
	}
	return answer.Answer{}, notRun(nil, "the connections to "+peer+" closed before the call was written")
}

func notRun(cause error, what string) error {
	return fault.Wrap(fault.NotRun, cause, what, "send the call again or elsewhere")
}

func mayHaveRun(cause error, what string) error {
	return fault.Wrap(fault.MayHaveRun, cause, what, "send it again only if it is idempotent")
}

// tryCall makes one attempt on this link; if it returns neither sent nor an error, another connection can be tried.
func (l *link) tryCall(ctx context.Context, c call.Call) (a answer.Answer, sent bool, err error) {
	l.outstanding.Add(1)
	defer l.finishCall()
	if l.closing.Load() {
		return a, false, nil
	}
	if n := len(c.Body()); n > maxCallBytes-frameOverhead {
		return a, false, notRun(nil, fmt.Sprintf("the call's body has %d bytes, the limit is %d", n, maxCallBytes-frameOverhead))
	}
	id, p := l.ids.Add(1), newPendingCall()
	l.pendingCalls.Store(id, p)
	defer l.pendingCalls.Delete(id)
	if l.purpose == bodies {
		return l.offerCall(ctx, id, p, c)
	}
	buffer, err := l.encodeCall(ctx, typeCall, id, c)
	if err != nil {
		return a, false, err
	}
	return l.submit(ctx, id, p, buffer)
}

// submit queues the frame that lets the call run and waits for the answer.
func (l *link) submit(ctx context.Context, id uint64, p *pendingCall, frame *bytes.Buffer) (a answer.Answer, sent bool, err error) {
	select {
	case l.queue <- outgoingFrame{data: frame.Bytes(), buffer: frame, call: p}:
	case <-ctx.Done():
		return l.abandon(ctx, id, p)
	case <-l.ended:
		return a, false, nil
	}
	select {
	case a = <-p.done:
		return a, true, nil
	case <-p.declined:
		l.cancelOffer(id, p)
		return a, false, nil
	case <-ctx.Done():
		return l.abandon(ctx, id, p)
	case <-l.ended:
		return l.resultAfterEnd(p)
	}
}

func (l *link) finishCall() {
	if l.outstanding.Add(-1) == 0 && l.closing.Load() {
		signal(l.idle)
	}
}

// encodeCall returns the frame of a call or an offer in a buffer that the caller owns.
func (l *link) encodeCall(ctx context.Context, t frameType, id uint64, c call.Call) (*bytes.Buffer, error) {
	f := c.Fields()
	if deadline, ok := ctx.Deadline(); ok {
		// Zero would mean no deadline.
		f.TimeLeft = max(1, time.Until(deadline).Milliseconds())
	}
	f.SentAt = l.timekeeper.PeerStamp(time.Now())
	c = call.New(f)
	buffer := newFrameBuffer(len(c.Body()))
	if err := appendFrame(buffer, t, l.generation, id, c); err != nil {
		return nil, notRun(err, "cannot encode the call")
	}
	if n := buffer.Len(); n > maxCallBytes {
		return nil, notRun(nil, fmt.Sprintf("the call has %d bytes, the limit is %d", n, maxCallBytes))
	}
	return buffer, nil
}

// abandon returns the result of a call whose ctx has ended, and cancels the call at the peer if the peer may have it.
func (l *link) abandon(ctx context.Context, id uint64, p *pendingCall) (answer.Answer, bool, error) {
	if p.withdraw() {
		l.cancelOffer(id, p)
		return answer.Answer{}, false, notRun(ctx.Err(), "the call waited for the connection")
	}
	select {
	case a := <-p.done:
		return a, true, nil
	default:
	}
	l.sendCancel(id)
	return answer.Answer{}, true, mayHaveRun(ctx.Err(), "no answer came in time")
}

// sendCancel asks the peer to cancel the call, as its caller no longer waits.
func (l *link) sendCancel(id uint64) {
	if !l.sendUrgent(typeCancel, id) {
		cancelsDropped.Inc(1)
	}
}

// cancelOffer tells the peer that the body of an offered call will not follow.
func (l *link) cancelOffer(id uint64, p *pendingCall) {
	if p.offered {
		l.sendCancel(id)
	}
}

// resultAfterEnd returns the result of a call whose link has ended; the writer writes no more calls then.
func (l *link) resultAfterEnd(p *pendingCall) (answer.Answer, bool, error) {
	if p.withdraw() {
		return answer.Answer{}, false, nil
	}
	select {
	case a := <-p.done:
		return a, true, nil
	default:
		return answer.Answer{}, true, mayHaveRun(nil, "the connection broke while the call was in flight")
	}
}
