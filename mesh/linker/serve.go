package linker

import (
	"context"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/pauser"
)

// handle acts on one frame; an error closes the link.
func (l *link) handle(ctx context.Context, f frame) error {
	accepts := l.purpose.carriesCalls() && !l.dialed
	answers := l.purpose.carriesCalls() && l.dialed
	switch {
	case f.Type == typeMessage && l.purpose == control:
		m, err := encoder.Decode(f.Body)
		if err != nil {
			return err
		}
		l.owner.receive(l.peer.address, m)
	case (f.Type == typeCall || f.Type == typeOffer) && accepts:
		return l.accept(ctx, f)
	case f.Type == typeBody && accepts:
		return l.takeBody(f)
	case f.Type == typeCancel && accepts:
		if h, ok := l.serving.Load(f.ID); ok {
			h.(*handling).cancel()
		}
	case f.Type == typeClosed && accepts:
		signal(l.acked)
	case f.Type == typeAnswer && answers:
		return l.deliver(f)
	case f.Type == typeGrant && answers:
		l.grant(f.ID)
	case f.Type == typeClosing && answers:
		l.closing.Store(true)
		l.peer.removeCalls(l)
		data := must(encodeFrame(typeClosed, l.generation, 0, nil))
		select {
		case l.urgent <- outgoing{data: data, last: true}:
		case <-ctx.Done():
		}
	default:
		return malformed("frame type is not allowed on this link")
	}
	return nil
}

// deliver hands an answer to the call that has its identifier, if that call still waits.
func (l *link) deliver(f frame) error {
	var a answer.Answer
	if err := a.UnmarshalCBOR(f.Body); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed answer", "check that both nodes run compatible releases")
	}
	p, ok := l.pending.LoadAndDelete(f.ID)
	if !ok {
		lateAnswers.Inc(1)
		return nil
	}
	p.(*pending).done <- a
	return nil
}

// accept starts the handler of a call, or refuses the call when too many run.
func (l *link) accept(ctx context.Context, f frame) error {
	var c call.Call
	if err := c.UnmarshalCBOR(f.Body); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed call", "check that both nodes run compatible releases")
	}
	late := l.late(c)
	if left := c.TimeLeft(); left > 0 {
		g := c.Fields()
		g.TimeLeft = max(1, left-late.Milliseconds())
		c = call.New(g)
	}
	if l.owner.running.Add(1) > int64(l.owner.LinkCalls) {
		l.owner.running.Add(-1)
		callsRefused.Inc(1)
		l.reply(ctx, f.ID, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBusy}))
		return nil
	}
	limited, cancel := within(ctx, c.TimeLeft())
	h := &handling{cancel: cancel, body: make(chan []byte, 1)}
	if _, taken := l.serving.LoadOrStore(f.ID, h); taken {
		cancel()
		l.owner.running.Add(-1)
		return malformed("two calls with one identifier")
	}
	id, offered := f.ID, f.Type == typeOffer
	l.handlers.start(func() {
		defer l.owner.running.Add(-1)
		defer cancel()
		defer l.serving.Delete(id)
		if late > heldUp {
			callsLate.Inc(1)
			pauser.Pause(limited, cancelWait)
		}
		if offered {
			whole, end, ok := l.await(limited, id, c, h)
			if !ok {
				l.reply(ctx, id, end)
				return
			}
			c = whole
		}
		l.reply(ctx, id, l.owner.server.Serve(limited, c))
	})
	return nil
}

// Reasons of refusals.
const (
	reasonBusy     = "busy"     // too many calls of other nodes run here
	reasonBodiless = "bodiless" // the body of an offered call did not come in time
)

const (
	// heldUp is how much longer than usual a call may be on its way. Beyond it, its caller may have left meanwhile, and
	// the news of that is behind it on the same connection.
	heldUp = 250 * time.Millisecond
	// cancelWait is how long such a call is kept back, so that the reader comes to the news.
	cancelWait = 10 * time.Millisecond
)

// late returns how much longer than the quickest call of the link this one was on its way, since the sender made it.
func (l *link) late(c call.Call) time.Duration {
	if c.SentAt() == 0 {
		return 0
	}
	way := time.Since(l.begun) - time.Duration(c.SentAt())*time.Millisecond
	if !l.timed || way < l.least {
		l.least, l.timed = way, true
	}
	return way - l.least
}

// within returns a context that ends after left milliseconds, or with ctx if left is not positive.
func within(ctx context.Context, left int64) (context.Context, context.CancelFunc) {
	if left > 0 {
		return context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// reply queues the answer to a call; the caller sees a broken link if ctx ends first.
func (l *link) reply(ctx context.Context, id uint64, a answer.Answer) {
	buffer := newFrameBuffer(len(a.Body()))
	if err := appendFrame(buffer, typeAnswer, l.generation, id, a); err != nil || buffer.Len() > callLimit {
		substitute := answer.New(answer.Fields{Status: 502, Ran: answer.Maybe, Reason: "large", Retried: a.Retried()})
		buffer = newFrameBuffer(0)
		must(buffer, appendFrame(buffer, typeAnswer, l.generation, id, substitute))
	}
	select {
	case l.queue <- outgoing{data: buffer.Bytes(), buffer: buffer}:
	case <-ctx.Done():
	}
}
