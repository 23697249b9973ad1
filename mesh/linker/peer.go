package linker

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/message"
)

const (
	// callLinks bounds the connections of one purpose to one peer that this node dials for calls.
	callLinks = 2
	// busyLink is the number of outstanding calls on each connection from which another one is dialed.
	busyLink   = 8
	boxSize    = 128
	backoffMin = 50 * time.Millisecond
	// messageAge bounds how long a message waits for a connection; machines repeat what still matters.
	messageAge = 10 * time.Second
)

// peer holds the connections with one node; the fields that calls read are replaced as a whole.
type peer struct {
	owner   *Linker
	address string

	calls   atomic.Pointer[[]*link]
	control atomic.Pointer[link]
	linked  chan struct{} // a control link came up

	box     chan message.Message
	sending atomic.Bool   // the goroutine that empties box has started
	touched atomic.Bool   // used since the last sweep
	retired atomic.Bool   // another peer value has taken over the address
	gone    chan struct{} // closed after retired is set

	dialing  [purposes]atomic.Pointer[attempt] // by purpose
	failures atomic.Int64                      // dials failed in a row
	retryAt  atomic.Int64                      // Unix nanoseconds before which no dial starts
}

// attempt is a dial that all waiting callers share.
type attempt struct {
	done chan struct{} // closed after link and err are set
	link *link
	err  error
}

func newPeer(owner *Linker, address string) *peer {
	p := &peer{
		owner: owner, address: address, linked: make(chan struct{}, 1),
		box: make(chan message.Message, boxSize), gone: make(chan struct{}),
	}
	p.touched.Store(true)
	p.calls.Store(new([]*link))
	return p
}

// pick returns the connection of the purpose with the fewest outstanding calls, dialing if there is none.
func (p *peer) pick(ctx context.Context, why purpose) (*link, error) {
	best, n := p.best(why)
	if best == nil {
		return p.dial(ctx, why)
	}
	if best.outstanding.Load() >= busyLink && n < callLinks && p.wait() == 0 {
		p.beginDial(why)
	}
	return best, nil
}

// best returns that connection, or nil, and how many there are.
func (p *peer) best(why purpose) (best *link, n int) {
	for _, k := range *p.calls.Load() {
		if k.purpose != why || k.closing.Load() {
			continue
		}
		n++
		if best == nil || k.outstanding.Load() < best.outstanding.Load() {
			best = k
		}
	}
	return best, n
}

// wait returns how long the back-off still forbids a dial.
func (p *peer) wait() time.Duration {
	return max(0, time.Duration(p.retryAt.Load()-p.owner.now().UnixNano()))
}

// dial returns a new connection, or a fault of kind NotRun at once during the back-off.
func (p *peer) dial(ctx context.Context, why purpose) (*link, error) {
	if p.wait() > 0 {
		return nil, notRun(nil, "no connection to "+p.address+", the last dial failed")
	}
	a := p.beginDial(why)
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, notRun(ctx.Err(), "no connection to "+p.address+" in time")
	}
}

// beginDial starts a dial unless one of the same purpose is under way.
func (p *peer) beginDial(why purpose) *attempt {
	slot := &p.dialing[why-control]
	a := &attempt{done: make(chan struct{})}
	for !slot.CompareAndSwap(nil, a) {
		if other := slot.Load(); other != nil {
			return other
		}
	}
	started := p.owner.tasks.start(func() {
		k, err := p.owner.connect(p, why)
		if err != nil {
			p.failed()
			a.err = notRun(err, "cannot connect to "+p.address)
		} else {
			p.failures.Store(0)
			a.link = k
		}
		slot.Store(nil)
		close(a.done)
		if err == nil {
			p.owner.runLink(k)
		}
	})
	if !started {
		a.err = notRun(nil, "this node is stopping")
		slot.Store(nil)
		close(a.done)
	}
	return a
}

// failed sets the end of the back-off: doubling, with a random half so that peers do not dial in step.
func (p *peer) failed() {
	n := min(p.failures.Add(1)-1, 10)
	delay := min(backoffMin<<n, p.owner.LinkRetry)
	delay = delay/2 + time.Duration(p.owner.random()*float64(delay/2))
	p.retryAt.Store(p.owner.now().Add(delay).UnixNano())
}

func (p *peer) changeCalls(f func([]*link) []*link) {
	for {
		old := p.calls.Load()
		changed := f(slices.Clone(*old))
		if p.calls.CompareAndSwap(old, &changed) {
			return
		}
	}
}

func (p *peer) removeCalls(k *link) {
	p.changeCalls(func(ks []*link) []*link {
		return slices.DeleteFunc(ks, func(o *link) bool { return o == k })
	})
}

// add makes the link available to calls and messages.
func (p *peer) add(k *link) {
	if k.purpose.carriesCalls() {
		if k.dialed {
			p.changeCalls(func(ks []*link) []*link { return append(ks, k) })
		}
		return
	}
	for {
		old := p.control.Load()
		keep, other := p.prefer(old, k)
		if !p.control.CompareAndSwap(old, keep) {
			continue
		}
		if other != nil {
			signal(other.drain)
		}
		signal(p.linked)
		return
	}
}

// prefer selects one of two control links between the same nodes, so that both ends keep the same one.
func (p *peer) prefer(old, k *link) (keep, other *link) {
	if old == nil || old.dialed == k.dialed {
		return k, old
	}
	smaller := p.owner.node < p.address
	if k.dialed == smaller {
		return k, old
	}
	return old, k
}

func (p *peer) remove(k *link) {
	if k.purpose.carriesCalls() {
		p.removeCalls(k)
		return
	}
	p.control.CompareAndSwap(k, nil)
}

// post queues a message and starts the sender on the first one.
func (p *peer) post(m message.Message) bool {
	if p.sending.CompareAndSwap(false, true) && !p.owner.tasks.start(p.send) {
		return false
	}
	select {
	case p.box <- m:
	default:
		return false
	}
	if p.retired.Load() {
		p.forward()
	}
	return true
}

// forward moves queued messages to the peer value that has taken over the address.
func (p *peer) forward() {
	for {
		select {
		case m := <-p.box:
			p.owner.Send(p.address, m)
		default:
			return
		}
	}
}

// unused reports whether nothing has happened with the peer since the last time it was asked.
func (p *peer) unused() bool {
	if p.touched.Swap(false) {
		return false
	}
	for i := range p.dialing {
		if p.dialing[i].Load() != nil {
			return false
		}
	}
	return p.control.Load() == nil && len(*p.calls.Load()) == 0 && len(p.box) == 0
}

// send empties the box until the linker ends or the peer is retired.
func (p *peer) send() {
	ctx := p.owner.ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.gone:
			p.forward()
			return
		case m := <-p.box:
			if !p.sendOne(ctx, m) {
				messagesDropped.Inc(1)
			}
		}
	}
}

func (p *peer) sendOne(ctx context.Context, m message.Message) bool {
	body, err := encoder.Encode(m)
	if err != nil || len(body) > controlLimit-64 {
		p.owner.log.Error("message not sent", "peer", p.address, "kind", m.Kind(), "bytes", len(body), "error", err)
		return false
	}
	oldest := p.owner.now().Add(-messageAge)
	for start := p.owner.now(); start.After(oldest); oldest = p.owner.now().Add(-messageAge) {
		k := p.control.Load()
		if k == nil {
			if !p.connectControl(ctx) {
				return false
			}
			continue
		}
		data := must(encodeFrame(typeMessage, k.generation, 0, body))
		select {
		case k.queue <- outgoing{data: data}:
			return true
		case <-k.ended:
			p.control.CompareAndSwap(k, nil)
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// connectControl waits for the back-off and dials once; false means that this node is stopping.
func (p *peer) connectControl(ctx context.Context) bool {
	if wait := p.wait(); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.linked:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if p.owner.closed.Load() || ctx.Err() != nil {
		return false
	}
	// The dial may succeed or fail; the sender looks for a link in both cases.
	k, err := p.dial(ctx, control)
	if err == nil && p.control.Load() == nil {
		select {
		case <-p.linked:
		case <-k.ended:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
