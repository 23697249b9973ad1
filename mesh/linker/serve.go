package linker

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
)

// handleFrame processes one frame; an error closes the link.
func (l *link) handleFrame(ctx context.Context, f frame) error {
	servesCalls := l.purpose.carriesCalls() && !l.dialed
	makesCalls := l.purpose.carriesCalls() && l.dialed
	switch {
	case f.Type == typeMessage && l.purpose == control:
		m, err := encoder.Decode(f.Body)
		if err != nil {
			return err
		}
		l.owner.dispatch(l.peer.address, m)
	case (f.Type == typeCall || f.Type == typeOffer) && servesCalls:
		return l.acceptCall(ctx, f)
	case f.Type == typeBody && servesCalls:
		return l.deliverBody(f)
	case f.Type == typeCancel && servesCalls:
		if h, ok := l.inboundCalls.Load(f.ID); ok {
			h.(*inboundCall).cancel()
		}
	case f.Type == typeClosed && servesCalls:
		l.confirmed.Store(true)
		signal(l.acked)
	case f.Type == typeAnswer && makesCalls:
		return l.deliverAnswer(f)
	case f.Type == typeGrant && makesCalls:
		l.handleGrant(f.ID)
	case f.Type == typeClosing && makesCalls:
		l.closing.Store(true)
		l.peer.removeCallLink(l)
		data := must(encodeFrame(typeClosed, l.generation, 0, nil))
		select {
		case l.urgent <- outgoingFrame{data: data, endsCalls: true}:
		case <-ctx.Done():
		}
	default:
		return malformed("frame type is not allowed on this link")
	}
	return nil
}

// deliverAnswer passes an answer to the call with its identifier, if that call is still pending.
func (l *link) deliverAnswer(f frame) error {
	var a answer.Answer
	decode := a.UnmarshalCBOR
	if f.hold != nil {
		decode = a.UnmarshalShared
	}
	if err := decode(f.Body); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed answer", "check that both nodes run compatible releases")
	}
	l.timekeeper.Observe(a.SentAt(), time.Now())
	p, ok := l.pendingCalls.LoadAndDelete(f.ID)
	if !ok {
		lateAnswers.Inc(1)
		f.hold.Release()
		return nil
	}
	if a.Ran() == answer.Yes && !answer.PossibleStatus(a.Status()) {
		f.hold.Release()
		f.hold = nil
		a = answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonStatus, Retried: a.Retried()})
	}
	if f.hold != nil {
		held := a.Fields()
		held.Hold = f.hold
		a = answer.New(held)
	}
	p.(*pendingCall).done <- a
	return nil
}

// acceptCall starts the handler of a call, or refuses the call if too many are running.
func (l *link) acceptCall(ctx context.Context, f frame) error {
	var c call.Call
	if err := c.UnmarshalCBOR(f.Body); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed call", "check that both nodes run compatible releases")
	}
	transit := l.timekeeper.Transit(c.SentAt(), time.Now())
	c = subtractTime(c, transit)
	if l.owner.runningCalls.Add(1) > int64(l.owner.LinkCalls) {
		l.owner.runningCalls.Add(-1)
		callsRefused.Inc(1)
		l.reply(ctx, f.ID, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBusy}))
		return nil
	}
	callCtx, cancel := withTimeLeft(ctx, c.TimeLeft())
	h := &inboundCall{cancel: cancel, body: make(chan []byte, 1)}
	if _, exists := l.inboundCalls.LoadOrStore(f.ID, h); exists {
		cancel()
		l.owner.runningCalls.Add(-1)
		return malformed("two calls with one identifier")
	}
	id, offered := f.ID, f.Type == typeOffer
	l.handlers.start(func() {
		defer l.owner.runningCalls.Add(-1)
		defer cancel()
		defer l.inboundCalls.Delete(id)
		if offered {
			withBody, took, refusal, ok := l.awaitBody(callCtx, id, c, h)
			if !ok {
				l.reply(ctx, id, refusal)
				return
			}
			c, transit = withBody, took
		}
		if transit > maxTransit && !l.confirm(callCtx, c, transit) {
			l.reply(ctx, id, unconfirmed)
			return
		}
		l.reply(ctx, id, l.serveCall(callCtx, c))
	})
	return nil
}

// serveCall runs the call and returns its answer when that may be sent.
func (l *link) serveCall(ctx context.Context, c call.Call) answer.Answer {
	reservation, refusal, ok := l.owner.outflow.Reserve(ctx, c)
	if !ok {
		return refusal
	}
	a := l.serveSafely(ctx, c)
	if err := l.owner.outflow.Send(ctx, c, reservation, len(a.Body())); err != nil {
		// Nobody waits for the answer any more.
		a.Hold().Release()
		return answer.New(answer.Fields{Status: http.StatusGatewayTimeout, Ran: answer.Maybe, Reason: reasonUnsent})
	}
	return a
}

// serveSafely runs the call; a panic ends only this call, which may have run.
func (l *link) serveSafely(ctx context.Context, c call.Call) (a answer.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			l.owner.log.Error("call ended by a panic", "id", c.RequestID(), "peer", l.peer.address, "panic", cause)
			a = answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonPanic})
		}
	}()
	return l.owner.server.Serve(ctx, c)
}

// Reasons for refusals.
const (
	reasonBusy     = "busy"     // too many calls of other nodes are running here
	reasonPanic    = "panic"    // a fault of this program ended the call
	reasonStatus   = "garbled"  // the answer has a status that no response can have
	reasonUnsent   = "unsent"   // the answer could not be sent before the deadline
	reasonBodiless = "bodiless" // the body of an offered call did not arrive in time
	reasonHeldUp   = "heldup"   // the call or its body was held up on its link, and its caller may have left meanwhile
)

// withTimeLeft returns a context with a timeout of leftMs milliseconds, or without one if leftMs is not positive.
func withTimeLeft(ctx context.Context, leftMs int64) (context.Context, context.CancelFunc) {
	if leftMs > 0 {
		return context.WithTimeout(ctx, time.Duration(leftMs)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// reply queues the answer to a call; if ctx ends first, the link is closing and the caller gets a broken link.
func (l *link) reply(ctx context.Context, id uint64, a answer.Answer) {
	stamped := a.Fields()
	stamped.SentAt = l.timekeeper.Stamp(time.Now())
	a = answer.New(stamped)
	hold := a.Hold()
	buffer, err := l.encodeAnswer(id, a)
	if err != nil || buffer.Len() > maxCallBytes {
		hold.Release()
		hold = nil
		substitute := answer.New(answer.Fields{Status: 502, Ran: answer.Maybe, Reason: "large", Retried: a.Retried()})
		buffer = newFrameBuffer(0)
		must(buffer, appendFrame(buffer, typeAnswer, l.generation, id, substitute))
	}
	select {
	case l.queue <- outgoingFrame{data: buffer.Bytes(), buffer: buffer, hold: hold}:
	case <-ctx.Done():
		hold.Release()
	}
}

// encodeAnswer returns the frame of an answer in a buffer that the caller owns.
func (l *link) encodeAnswer(id uint64, a answer.Answer) (*bytes.Buffer, error) {
	size := len(a.Body())
	if size > holder.CountedFrom {
		l.owner.encoding.Lock()
		defer l.owner.encoding.Unlock()
		for _, line := range a.Headers() {
			// Without room for the headers the buffer would be doubled.
			size += len(line.Name) + len(line.Value) + headerOverhead
		}
	}
	buffer := newFrameBuffer(size)
	err := appendFrame(buffer, typeAnswer, l.generation, id, a)
	a.Hold().Copied(int64(len(a.Body())))
	return buffer, err
}
