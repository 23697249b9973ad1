package linker

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/kernel"
)

const (
	// offerMinBytes is the size from which a body is offered before it is sent. Many large bodies at once saturate the
	// connection to a host and delay all small calls to it; below this size sending is cheaper than offering.
	offerMinBytes = 24 << 10
	// bodyReservation is how long a granted body counts against the intake's limit. One that arrives later is accepted.
	bodyReservation = 600 * time.Millisecond
)

// intake limits how many large bodies of other nodes this node receives at a time.
type intake interface {
	// Acquire waits until the peer may send the body of c; c itself has no body yet. Release must be called if ok is
	// true; otherwise the call has not run and refusal is its answer.
	Acquire(ctx context.Context, c call.Call) (refusal answer.Answer, ok bool)
	// Release frees what Acquire reserved. took is the time until the body arrived or the reservation ran out, or zero
	// if waiting for the body ended before.
	Release(took time.Duration)
}

// outflow limits the large answers that this node sends.
type outflow interface {
	// Reserve decides whether c may run, by the size that its answer is expected to have. If ok is true, Send must be
	// called with the reservation; otherwise the call has not run and refusal is its answer.
	Reserve(ctx context.Context, c call.Call) (reservation int64, refusal answer.Answer, ok bool)
	// Send waits until an answer of the size may be sent, or returns an error if ctx ends first.
	Send(ctx context.Context, c call.Call, reservation int64, size int) error
}

// partOr returns the first part that implements T, or the fallback if there is none.
func partOr[T any](k *kernel.Kernel, fallback T) T {
	if all := kernel.All[T](k); len(all) > 0 {
		return all[0]
	}
	return fallback
}

// unlimited admits every body and answer; it is used on nodes where no part implements intake or outflow.
type unlimited struct{}

func (unlimited) Reserve(context.Context, call.Call) (int64, answer.Answer, bool) {
	return 0, answer.Answer{}, true
}
func (unlimited) Send(context.Context, call.Call, int64, int) error { return nil }

func (unlimited) Acquire(context.Context, call.Call) (answer.Answer, bool) {
	return answer.Answer{}, true
}
func (unlimited) Release(time.Duration) {}

// offerCall offers the call to the peer and sends its body once that is granted; until then the call cannot run.
func (l *link) offerCall(ctx context.Context, id uint64, p *pendingCall, c call.Call) (a answer.Answer, sent bool, err error) {
	f := c.Fields()
	f.Body = nil
	offer, err := l.encodeCall(ctx, typeOffer, id, call.New(f))
	if err != nil {
		return a, false, err
	}
	select {
	case l.queue <- outgoingFrame{data: offer.Bytes(), buffer: offer}:
		p.offered = true
	case <-ctx.Done():
		return a, false, notRun(ctx.Err(), "the offer waited for the connection")
	case <-l.ended:
		return a, false, nil
	}
	select {
	case <-p.granted:
	case a = <-p.done:
		return a, true, nil
	case <-ctx.Done():
		return l.abandon(ctx, id, p)
	case <-l.ended:
		return a, false, nil
	}
	buffer := newFrameBuffer(len(c.Body()))
	if err := appendFrame(buffer, typeBody, l.generation, id, byteString(c.Body())); err != nil {
		l.cancelOffer(id, p)
		return a, false, notRun(err, "cannot encode the call's body")
	}
	return l.submit(ctx, id, p, buffer)
}

// byteString is a body that is encoded as a byte string.
type byteString []byte

// MarshalTo appends the encoded byte string to b.
func (o byteString) MarshalTo(b *bytes.Buffer) error { return encMode.MarshalToBuffer([]byte(o), b) }

// handleGrant signals the offered call that the peer has room for its body.
func (l *link) handleGrant(id uint64) {
	if p, ok := l.pendingCalls.Load(id); ok {
		signal(p.(*pendingCall).granted)
	}
}

// inboundCall is a call of the peer that is being served.
type inboundCall struct {
	cancel context.CancelFunc
	body   chan []byte // capacity 1; the body of an offered call
}

// deliverBody passes a copy of the body to the offered call, as the frame's buffer is reused.
func (l *link) deliverBody(f frame) error {
	var body []byte
	if err := decMode.Unmarshal(f.Body, &body); err != nil {
		return malformed("body of an offered call")
	}
	h, ok := l.inboundCalls.Load(f.ID)
	if !ok {
		// The handler has ended at its deadline or was cancelled.
		return nil
	}
	select {
	case h.(*inboundCall).body <- body:
		return nil
	default:
		return malformed("two bodies for one call")
	}
}

// awaitBody waits for the body of an offered call and returns the call with it and the time that the grant and the body
// took; if ok is false, refusal is its answer.
func (l *link) awaitBody(ctx context.Context, id uint64, c call.Call, h *inboundCall) (withBody call.Call, took time.Duration, refusal answer.Answer, ok bool) {
	begun := time.Now()
	if refusal, ok := l.owner.intake.Acquire(ctx, c); !ok {
		return c, 0, refusal, false
	}
	granted := time.Now()
	reservation := time.NewTimer(bodyReservation)
	defer reservation.Stop()
	reserved := true
	release := func(took time.Duration) {
		if reserved {
			reserved = false
			l.owner.intake.Release(took)
		}
	}
	defer func() { release(0) }()
	if !l.sendUrgent(typeGrant, id) {
		return c, 0, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBusy}), false
	}
	for {
		select {
		case body := <-h.body:
			took = time.Since(granted)
			release(took)
			f := subtractTime(c, time.Since(begun)).Fields()
			f.Body = body
			return call.New(f), took, refusal, true
		case <-reservation.C:
			release(bodyReservation)
		case <-ctx.Done():
			return c, 0, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBodiless}), false
		}
	}
}
