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

// callAttempts bounds how often a call that was not written moves to another connection of the same peer.
const callAttempts = 3

// The states of a pending call; it leaves queued exactly once.
const (
	queued int32 = iota
	taken        // the writer writes it: the peer may get it
	unsent       // it is not and will not be written
)

// pending is one call that waits for its answer.
type pending struct {
	state   atomic.Int32
	done    chan answer.Answer // capacity 1; at most one value, as the reader removes the call before it sends
	refused chan struct{}      // closed when the writer declines to write the call
	granted chan struct{}      // capacity 1; the peer has room for the body of an offered call
	offered bool               // the peer knows of the call before it is written
}

func newPending() *pending {
	return &pending{done: make(chan answer.Answer, 1), refused: make(chan struct{}), granted: make(chan struct{}, 1)}
}

// take reports whether the writer may write the call; with refuse it never may.
func (p *pending) take(refuse bool) bool {
	if !refuse {
		return p.state.CompareAndSwap(queued, taken)
	}
	if p.state.CompareAndSwap(queued, unsent) {
		close(p.refused)
	}
	return false
}

// withdraw reports whether it is certain that the call is not written.
func (p *pending) withdraw() bool {
	return p.state.CompareAndSwap(queued, unsent) || p.state.Load() == unsent
}

// Call sends c to the node at address peer and waits for its answer.
//
// Errors are a fault of kind NotRun only if no byte of c was written to a connection, and of kind MayHaveRun otherwise.
// When ctx ends first, the peer is told to cancel the handler. A deadline of ctx replaces c.Left.
func (l *Linker) Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error) {
	if l.closed.Load() {
		return answer.Answer{}, notRun(nil, "this node is stopping")
	}
	p, why := l.peer(peer), calls
	if len(c.Body()) >= offeredBody {
		why = bodies
	}
	for range callAttempts {
		k, err := p.pick(ctx, why)
		if err != nil {
			return answer.Answer{}, err
		}
		a, sent, err := k.call(ctx, c)
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

// call does one attempt; not sent without an error means that another connection can be tried.
func (l *link) call(ctx context.Context, c call.Call) (a answer.Answer, sent bool, err error) {
	l.outstanding.Add(1)
	defer l.release()
	if l.closing.Load() {
		return a, false, nil
	}
	if n := len(c.Body()); n > callLimit-bodySlack {
		return a, false, notRun(nil, fmt.Sprintf("the call's body has %d bytes, the limit is %d", n, callLimit-bodySlack))
	}
	id, p := l.ids.Add(1), newPending()
	l.pending.Store(id, p)
	defer l.pending.Delete(id)
	if l.purpose == bodies {
		return l.offer(ctx, id, p, c)
	}
	buffer, err := l.encodeCall(ctx, typeCall, id, c)
	if err != nil {
		return a, false, err
	}
	return l.submit(ctx, id, p, buffer)
}

// submit queues the frame after which the call may run, and waits for the answer.
func (l *link) submit(ctx context.Context, id uint64, p *pending, frame *bytes.Buffer) (a answer.Answer, sent bool, err error) {
	select {
	case l.queue <- outgoing{data: frame.Bytes(), buffer: frame, call: p}:
	case <-ctx.Done():
		return l.abandon(ctx, id, p)
	case <-l.ended:
		return a, false, nil
	}
	select {
	case a = <-p.done:
		return a, true, nil
	case <-p.refused:
		l.forgo(id, p)
		return a, false, nil
	case <-ctx.Done():
		return l.abandon(ctx, id, p)
	case <-l.ended:
		return l.broken(p)
	}
}

func (l *link) release() {
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
	// Zero would mean that the sender does not say.
	f.SentAt = max(1, time.Since(l.begun).Milliseconds())
	c = call.New(f)
	buffer := newFrameBuffer(len(c.Body()))
	if err := appendFrame(buffer, t, l.generation, id, c); err != nil {
		return nil, notRun(err, "cannot encode the call")
	}
	if n := buffer.Len(); n > callLimit {
		return nil, notRun(nil, fmt.Sprintf("the call has %d bytes, the limit is %d", n, callLimit))
	}
	return buffer, nil
}

// abandon ends the wait for an answer after ctx ended.
func (l *link) abandon(ctx context.Context, id uint64, p *pending) (answer.Answer, bool, error) {
	if p.withdraw() {
		l.forgo(id, p)
		return answer.Answer{}, false, notRun(ctx.Err(), "the call waited for the connection")
	}
	select {
	case a := <-p.done:
		return a, true, nil
	default:
	}
	l.cancel(id)
	return answer.Answer{}, true, mayHaveRun(ctx.Err(), "no answer came in time")
}

// cancel tells the peer that nobody waits for the call.
func (l *link) cancel(id uint64) {
	if !l.sendUrgent(typeCancel, id) {
		cancelsDropped.Inc(1)
	}
}

// forgo tells the peer that the body of a call that it was offered does not come.
func (l *link) forgo(id uint64, p *pending) {
	if p.offered {
		l.cancel(id)
	}
}

// broken ends the wait for an answer after the link ended, when the writer takes no more calls.
func (l *link) broken(p *pending) (answer.Answer, bool, error) {
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
