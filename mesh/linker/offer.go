package linker

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

const (
	// offeredBody is the size from which a body is offered before it is sent. Many large bodies at once fill the way to a
	// host, and every small call to it then waits behind them; smaller ones are cheaper to send than to ask for.
	offeredBody = 24 << 10
	// bodyWait is how long the room for a body is kept. A body that comes later is still taken.
	bodyWait = 600 * time.Millisecond
)

// intake decides which large bodies of other nodes this one receives at a time.
type intake interface {
	// Acquire waits until there is room for the body of c, which it does not hold yet; without ok the answer is the end of
	// the call. Leave must follow an admission.
	Acquire(ctx context.Context, c call.Call) (refusal answer.Answer, ok bool)
	// Release gives the room back; took is how long the body was on its way, or zero if it did not come.
	Release(took time.Duration)
}

// unlimited is the intake of a node without a part for it.
type unlimited struct{}

func (unlimited) Acquire(context.Context, call.Call) (answer.Answer, bool) {
	return answer.Answer{}, true
}
func (unlimited) Release(time.Duration) {}

// offer asks the peer to take the call's body and sends it once the peer has room. Until then the call has not run.
func (l *link) offer(ctx context.Context, id uint64, p *pending, c call.Call) (a answer.Answer, sent bool, err error) {
	f := c.Fields()
	f.Body = nil
	head, err := l.encodeCall(ctx, typeOffer, id, call.New(f))
	if err != nil {
		return a, false, err
	}
	select {
	case l.queue <- outgoing{data: head.Bytes(), buffer: head}:
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
	if err := appendFrame(buffer, typeBody, l.generation, id, octets(c.Body())); err != nil {
		l.forgo(id, p)
		return a, false, notRun(err, "cannot encode the call's body")
	}
	return l.submit(ctx, id, p, buffer)
}

// octets is a body that is encoded as a byte string.
type octets []byte

// MarshalTo appends the byte string.
func (o octets) MarshalTo(b *bytes.Buffer) error { return encMode.MarshalToBuffer([]byte(o), b) }

// grant notes that the peer has room for the body of an offered call.
func (l *link) grant(id uint64) {
	if p, ok := l.pending.Load(id); ok {
		signal(p.(*pending).granted)
	}
}

// handling is one call of the peer that is being served.
type handling struct {
	cancel context.CancelFunc
	body   chan []byte // capacity 1; the body of an offered call
}

// takeBody gives the body to the call that was offered; the frame's own buffer is used again.
func (l *link) takeBody(f frame) error {
	var body []byte
	if err := decMode.Unmarshal(f.Body, &body); err != nil {
		return malformed("body of an offered call")
	}
	h, ok := l.serving.Load(f.ID)
	if !ok {
		// The handler has ended at its deadline or was cancelled.
		return nil
	}
	select {
	case h.(*handling).body <- body:
		return nil
	default:
		return malformed("two bodies for one call")
	}
}

// await returns the offered call with its body once that has arrived; without ok the answer is the call's end.
func (l *link) await(ctx context.Context, id uint64, c call.Call, h *handling) (whole call.Call, end answer.Answer, ok bool) {
	begun := time.Now()
	if refusal, ok := l.owner.intake.Acquire(ctx, c); !ok {
		return c, refusal, false
	}
	granted := time.Now()
	room := time.NewTimer(bodyWait)
	defer room.Stop()
	held := true
	leave := func(took time.Duration) {
		if held {
			held = false
			l.owner.intake.Release(took)
		}
	}
	defer func() { leave(0) }()
	if !l.sendUrgent(typeGrant, id) {
		return c, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBusy}), false
	}
	for {
		select {
		case body := <-h.body:
			leave(time.Since(granted))
			f := c.Fields()
			f.Body = body
			waited := time.Since(begun).Milliseconds()
			f.LatestStart -= waited
			if f.TimeLeft > 0 {
				f.TimeLeft = max(1, f.TimeLeft-waited)
			}
			return call.New(f), end, true
		case <-room.C:
			leave(bodyWait)
		case <-ctx.Done():
			return c, answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonBodiless}), false
		}
	}
}
