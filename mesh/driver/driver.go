package driver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
)

const (
	// tickInterval is the longest time between two ticks that machines rely on.
	tickInterval = 100 * time.Millisecond
	queueSize    = 2048
	// messageLimit is the queue length from which received messages are dropped. The rest of the queue is reserved for
	// other events, which are not repeated.
	messageLimit = 1024
)

var (
	messagesDropped = metrics.GetOrRegisterCounter("driver.unreceived", nil)
	eventsDropped   = metrics.GetOrRegisterCounter("driver.dropped", nil)
)

func init() {
	kernel.Register("driver", 40, func() kernel.Part {
		return &Driver{now: time.Now, queue: make(chan queuedEvent, queueSize)}
	})
}

// configProvider returns the identity of this node.
type configProvider interface {
	Config() machine.Config
}

// sender sends messages to other nodes.
type sender interface {
	// Send does not block; delivery is not guaranteed.
	Send(peer string, m message.Message)
}

// subscriber is a part of the data path that uses values published by the machines.
type subscriber interface {
	// Publish does not block. The value is immutable, and a part ignores values of types that it does not use.
	Publish(value any)
}

// queuedEvent is an event in the queue for the machines. Events of a cancelled watch are discarded.
type queuedEvent struct {
	event  event.Event
	watch  *watch // nil if the event does not come from a watch
	isLast bool   // the watch has no further events
}

// Driver runs the controller of this node.
type Driver struct {
	StoreRequests int `help:"Store requests of the control plane that run at a time." default:"16" env:"WISTERIASPOKE_STORE_REQUESTS"`

	now   func() time.Time
	queue chan queuedEvent

	log         *slog.Logger
	controller  *controller.Controller
	sender      sender
	subscribers []subscriber
	requests    *requests
	wakeTimes   wakeTimes
}

// Check returns every bad setting with its remedy.
func (d *Driver) Check() error {
	if d.StoreRequests < 1 {
		return fault.New(fault.Invalid, fmt.Sprintf("--store-requests is %d", d.StoreRequests), "set it to 1 or more")
	}
	return nil
}

// Start runs all registered machines until ctx ends.
func (d *Driver) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	identity, err := kernel.Need[configProvider](k)
	if err != nil {
		return nil, err
	}
	if d.sender, err = kernel.Need[sender](k); err != nil {
		return nil, err
	}
	s, err := kernel.Need[store](k)
	if err != nil {
		return nil, err
	}
	d.log = k.Log
	d.subscribers = kernel.All[subscriber](k)
	d.controller = controller.New(identity.Config())
	d.requests = newRequests(s, d.StoreRequests, d.queue)
	done := make(chan error, 1)
	go func() { done <- d.run(ctx) }()
	return done, nil
}

// Inject queues an event for the machines without blocking; safe for many goroutines, also before Start.
//
// While the queue is at least half full, received messages are dropped and counted, since peers repeat information that
// is still needed. Other events are dropped and counted only when the queue is full.
func (d *Driver) Inject(e event.Event) {
	if e.Kind() == event.Received && len(d.queue) >= messageLimit {
		messagesDropped.Inc(1)
		return
	}
	select {
	case d.queue <- queuedEvent{event: e}:
		return
	default:
	}
	if e.Kind() == event.Received {
		messagesDropped.Inc(1)
		return
	}
	eventsDropped.Inc(1)
}

// run processes ticks, queued events and completed store requests until ctx ends. Only its goroutine calls the
// controller.
func (d *Driver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastTick time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
			lastTick = d.now()
			d.wakeTimes.removePast(lastTick)
			d.step(ctx, event.NewTick())
		case e := <-d.queue:
			if d.requests.accept(e) {
				d.step(ctx, e.event)
			}
		case c := <-d.requests.completions:
			d.requests.handleCompletion(ctx, c)
		}
		timer.Reset(d.wakeTimes.next(lastTick.Add(tickInterval)).Sub(d.now()))
	}
	cancel()
	d.requests.wait()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// step passes the event to the machines and applies all effects before it returns. It also steps the replies to refused
// store requests.
func (d *Driver) step(ctx context.Context, e event.Event) {
	now := d.now()
	pending := []event.Event{e}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, f := range d.controller.Step(now, next) {
			if refusal, refused := d.apply(ctx, f); refused {
				pending = append(pending, refusal)
			}
		}
	}
}

// apply applies one effect. If too many store requests wait, it returns the reply that refuses the request.
func (d *Driver) apply(ctx context.Context, f effect.Effect) (refusal event.Event, refused bool) {
	switch f.Kind() {
	case effect.Send:
		d.sender.Send(f.Peer(), f.Message())
	case effect.Get, effect.List, effect.Create, effect.Update, effect.Delete:
		if !d.requests.start(ctx, f) {
			err := fault.New(fault.Throttled, "too many store requests wait", "ask again later")
			return event.NewStoreReplied(f.ID(), nil, "", err), true
		}
	case effect.Watch:
		d.requests.watch(ctx, f)
	case effect.Unwatch:
		d.requests.unwatch(f.ID())
	case effect.Publish:
		for _, p := range d.subscribers {
			p.Publish(f.Value())
		}
	case effect.Wake:
		d.wakeTimes.add(f.At())
	default:
		d.log.Error("unknown effect", "kind", int(f.Kind()))
	}
	return event.Event{}, false
}
