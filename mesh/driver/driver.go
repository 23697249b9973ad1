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
	// receivedLimit leaves room for events other than messages, which peers do not repeat.
	receivedLimit = 1024
)

var (
	receivedDropped = metrics.GetOrRegisterCounter("driver.unreceived", nil)
	eventsDropped   = metrics.GetOrRegisterCounter("driver.dropped", nil)
)

func init() {
	kernel.Register("driver", 40, func() kernel.Part {
		return &Driver{now: time.Now, queue: make(chan item, queueSize)}
	})
}

// configured knows what machines know of this node.
type configured interface {
	Config() machine.Config
}

// sender takes messages for other nodes.
type sender interface {
	// Send does not block; delivery is not guaranteed.
	Send(peer string, m message.Message)
}

// publisher is a part of the data path.
type publisher interface {
	// Publish does not block; value is immutable, and values of no concern are ignored.
	Publish(value any)
}

// item is one event on its way to the machines; events of a watch that has been ended are discarded.
type item struct {
	event event.Event
	watch *watch // nil if the event is not of a watch
	last  bool   // the watch has no more events
}

// Driver owns the controller of this node.
type Driver struct {
	StoreRequests int `help:"Store requests of the control plane that run at a time." default:"16" env:"WISTERIASPOKE_STORE_REQUESTS"`

	now   func() time.Time
	queue chan item

	log        *slog.Logger
	controller *controller.Controller
	sender     sender
	publishers []publisher
	requests   *requests
	wakes      wakes
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
	own, err := kernel.Need[configured](k)
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
	d.publishers = kernel.All[publisher](k)
	d.controller = controller.New(own.Config())
	d.requests = newRequests(s, d.StoreRequests, d.queue)
	end := make(chan error, 1)
	go func() { end <- d.run(ctx) }()
	return end, nil
}

// Inject queues an event for the machines without blocking; safe for many goroutines, also before Start.
//
// When the queue is half full, received messages are dropped and counted, since peers repeat what still matters. Other
// events use the whole queue; beyond it they are dropped and counted.
func (d *Driver) Inject(e event.Event) {
	if e.Kind() == event.Received && len(d.queue) >= receivedLimit {
		receivedDropped.Inc(1)
		return
	}
	select {
	case d.queue <- item{event: e}:
		return
	default:
	}
	if e.Kind() == event.Received {
		receivedDropped.Inc(1)
		return
	}
	eventsDropped.Inc(1)
}

// run is the only goroutine that steps the controller.
func (d *Driver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var ticked time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
			ticked = d.now()
			d.wakes.passed(ticked)
			d.step(ctx, event.NewTick())
		case i := <-d.queue:
			if d.requests.current(i) {
				d.step(ctx, i.event)
			}
		case done := <-d.requests.ends:
			d.requests.finish(ctx, done)
		}
		timer.Reset(d.wakes.next(ticked.Add(tickInterval)).Sub(d.now()))
	}
	cancel()
	d.requests.wait()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// step gives the event to the machines and carries out all effects before the next event.
func (d *Driver) step(ctx context.Context, e event.Event) {
	now := d.now()
	queue := []event.Event{e}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, f := range d.controller.Step(now, next) {
			if refusal, refused := d.apply(ctx, f); refused {
				queue = append(queue, refusal)
			}
		}
	}
}

// apply carries out one effect; a store request that cannot be taken is refused with its answer.
func (d *Driver) apply(ctx context.Context, f effect.Effect) (refusal event.Event, refused bool) {
	switch f.Kind() {
	case effect.Send:
		d.sender.Send(f.Peer(), f.Message())
	case effect.Get, effect.List, effect.Create, effect.Update, effect.Delete:
		if !d.requests.begin(ctx, f) {
			err := fault.New(fault.Throttled, "too many store requests wait", "ask again later")
			return event.NewStoreReplied(f.ID(), nil, "", err), true
		}
	case effect.Watch:
		d.requests.watch(ctx, f)
	case effect.Unwatch:
		d.requests.unwatch(f.ID())
	case effect.Publish:
		for _, p := range d.publishers {
			p.Publish(f.Value())
		}
	case effect.Wake:
		d.wakes.add(f.At())
	default:
		d.log.Error("unknown effect", "kind", int(f.Kind()))
	}
	return event.Event{}, false
}
