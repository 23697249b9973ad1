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
	// maxCallLinks bounds the connections of one purpose to one peer that this node dials for calls.
	maxCallLinks = 2
	// busyLinkCalls is the number of outstanding calls on each connection at which another connection is dialed.
	busyLinkCalls    = 8
	messageQueueSize = 128
	backoffMin       = 50 * time.Millisecond
	// maxMessageAge bounds how long a message waits for a connection; machines send again what is still relevant.
	maxMessageAge = 10 * time.Second
)

// peer holds the connections with one node; its link fields are replaced atomically, as calls read them without a lock.
type peer struct {
	owner   *Linker
	address string

	callLinks   atomic.Pointer[[]*link]
	controlLink atomic.Pointer[link]
	linked      chan struct{} // signalled when a control link is established

	messageQueue   chan message.Message
	senderStarted  atomic.Bool // the goroutine that runs sendLoop has started
	usedSinceSweep atomic.Bool
	retired        atomic.Bool   // removed by sweep; the address may have a new peer value
	stopSending    chan struct{} // closed after retired is set

	dialing  [purposeCount]atomic.Pointer[dialAttempt] // by purpose
	failures atomic.Int64                              // consecutive failed dials
	retryAt  atomic.Int64                              // Unix nanoseconds before which no dial starts
}

// dialAttempt is a dial whose result all waiting callers share.
type dialAttempt struct {
	done chan struct{} // closed after link and err are set
	link *link
	err  error
}

func newPeer(owner *Linker, address string) *peer {
	p := &peer{
		owner: owner, address: address, linked: make(chan struct{}, 1),
		messageQueue: make(chan message.Message, messageQueueSize), stopSending: make(chan struct{}),
	}
	p.usedSinceSweep.Store(true)
	p.callLinks.Store(new([]*link))
	return p
}

// pickLink returns the least loaded connection of the purpose. It dials if there is none, or another if that is busy.
func (p *peer) pickLink(ctx context.Context, purpose purpose) (*link, error) {
	best, n := p.leastLoaded(purpose)
	if best == nil {
		return p.dial(ctx, purpose)
	}
	if best.outstanding.Load() >= busyLinkCalls && n < maxCallLinks && p.backoffLeft() == 0 {
		p.beginDial(purpose)
	}
	return best, nil
}

// leastLoaded returns the connection of the purpose with the fewest outstanding calls, or nil, and the number of such
// connections.
func (p *peer) leastLoaded(purpose purpose) (best *link, n int) {
	for _, k := range *p.callLinks.Load() {
		if k.purpose != purpose || k.closing.Load() {
			continue
		}
		n++
		if best == nil || k.outstanding.Load() < best.outstanding.Load() {
			best = k
		}
	}
	return best, n
}

// backoffLeft returns the time until the backoff allows a dial.
func (p *peer) backoffLeft() time.Duration {
	return max(0, time.Duration(p.retryAt.Load()-p.owner.now().UnixNano()))
}

// dial returns a new connection, or a fault of kind NotRun at once during the backoff.
func (p *peer) dial(ctx context.Context, purpose purpose) (*link, error) {
	if p.backoffLeft() > 0 {
		return nil, notRun(nil, "no connection to "+p.address+", the last dial failed")
	}
	a := p.beginDial(purpose)
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, notRun(ctx.Err(), "no connection to "+p.address+" in time")
	}
}

// beginDial starts a dial, or returns the running one of the same purpose.
func (p *peer) beginDial(purpose purpose) *dialAttempt {
	slot := &p.dialing[purpose-control]
	a := &dialAttempt{done: make(chan struct{})}
	for !slot.CompareAndSwap(nil, a) {
		if running := slot.Load(); running != nil {
			return running
		}
	}
	started := p.owner.tasks.start(func() {
		k, err := p.owner.connect(p, purpose)
		if err != nil {
			p.extendBackoff()
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

// extendBackoff sets the time of the next dial: the delay doubles with each failure, and half of it is random, so that
// peers do not dial at the same time.
func (p *peer) extendBackoff() {
	n := min(p.failures.Add(1)-1, 10)
	delay := min(backoffMin<<n, p.owner.LinkRetry)
	delay = delay/2 + time.Duration(p.owner.random()*float64(delay/2))
	p.retryAt.Store(p.owner.now().Add(delay).UnixNano())
}

func (p *peer) updateCallLinks(f func([]*link) []*link) {
	for {
		old := p.callLinks.Load()
		changed := f(slices.Clone(*old))
		if p.callLinks.CompareAndSwap(old, &changed) {
			return
		}
	}
}

func (p *peer) removeCallLink(k *link) {
	p.updateCallLinks(func(ks []*link) []*link {
		return slices.DeleteFunc(ks, func(o *link) bool { return o == k })
	})
}

// add makes the link available to calls or messages.
func (p *peer) add(k *link) {
	if k.purpose.carriesCalls() {
		if k.dialed {
			p.updateCallLinks(func(ks []*link) []*link { return append(ks, k) })
		}
		return
	}
	for {
		old := p.controlLink.Load()
		keep, surplus := p.chooseControlLink(old, k)
		if !p.controlLink.CompareAndSwap(old, keep) {
			continue
		}
		if surplus != nil {
			signal(surplus.drain)
		}
		signal(p.linked)
		return
	}
}

// chooseControlLink selects one of two control links between the same nodes, so that both ends keep the same one.
func (p *peer) chooseControlLink(old, k *link) (keep, surplus *link) {
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
		p.removeCallLink(k)
		return
	}
	p.controlLink.CompareAndSwap(k, nil)
}

// enqueue queues a message, starting the sender with the first one, and reports false if the queue is full or the node
// is stopping.
func (p *peer) enqueue(m message.Message) bool {
	if p.senderStarted.CompareAndSwap(false, true) && !p.owner.tasks.start(p.sendLoop) {
		return false
	}
	select {
	case p.messageQueue <- m:
	default:
		return false
	}
	if p.retired.Load() {
		p.resendQueued()
	}
	return true
}

// resendQueued passes the queued messages to the new peer value of the address.
func (p *peer) resendQueued() {
	for {
		select {
		case m := <-p.messageQueue:
			p.owner.Send(p.address, m)
		default:
			return
		}
	}
}

// unused reports whether the peer was not used since the last call of unused and has no links, dials or messages.
func (p *peer) unused() bool {
	if p.usedSinceSweep.Swap(false) {
		return false
	}
	for i := range p.dialing {
		if p.dialing[i].Load() != nil {
			return false
		}
	}
	return p.controlLink.Load() == nil && len(*p.callLinks.Load()) == 0 && len(p.messageQueue) == 0
}

// sendLoop sends the queued messages until the linker ends or the peer is retired.
func (p *peer) sendLoop() {
	ctx := p.owner.ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.stopSending:
			p.resendQueued()
			return
		case m := <-p.messageQueue:
			if !p.sendMessage(ctx, m) {
				messagesDropped.Inc(1)
			}
		}
	}
}

func (p *peer) sendMessage(ctx context.Context, m message.Message) bool {
	body, err := encoder.Encode(m)
	if err != nil || len(body) > maxControlBytes-64 {
		p.owner.log.Error("message not sent", "peer", p.address, "kind", m.Kind(), "bytes", len(body), "error", err)
		return false
	}
	oldest := p.owner.now().Add(-maxMessageAge)
	for start := p.owner.now(); start.After(oldest); oldest = p.owner.now().Add(-maxMessageAge) {
		k := p.controlLink.Load()
		if k == nil {
			if !p.connectControl(ctx) {
				return false
			}
			continue
		}
		data := must(encodeFrame(typeMessage, k.generation, 0, body))
		select {
		case k.queue <- outgoingFrame{data: data, kind: string(m.Kind())}:
			return true
		case <-k.ended:
			p.controlLink.CompareAndSwap(k, nil)
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// connectControl waits for the backoff and dials once; false means that this node is stopping.
func (p *peer) connectControl(ctx context.Context) bool {
	if wait := p.backoffLeft(); wait > 0 {
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
	if p.owner.rejectOutbound.Load() || ctx.Err() != nil {
		return false
	}
	// A failed dial is not an error here: sendMessage checks for a link again.
	k, err := p.dial(ctx, control)
	if err == nil && p.controlLink.Load() == nil {
		select {
		case <-p.linked:
		case <-k.ended:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
