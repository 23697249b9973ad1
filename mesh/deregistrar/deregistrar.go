package deregistrar

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	// The drain begins with the highest priority, and that of the callers' requests takes most of its time.
	kernel.Register("deregistrar", 75, func() kernel.Part { return &Deregistrar{stopping: make(chan struct{}, 1)} })
}

// callTimeout bounds the call to the store; the entry remains if it fails.
const callTimeout = time.Second

// registration is this node's entry in the store.
type registration interface {
	// Deregister removes the entry and does not write it again.
	Deregister(ctx context.Context) error
}

// viewSource provides the configuration.
type viewSource interface {
	// View returns the current state.
	View() *view.View
}

// shareHolder holds the shares of limits that other nodes have lent to this one.
type shareHolder interface {
	// AnnounceStop prepares the other nodes for the release of their shares; it does not block.
	AnnounceStop()
}

// Deregistrar withdraws this node from the division of limits when the node stops in order, if tenants have limits. It removes
// the entry in the store: nodes that start divide the limits by the number of entries, so entries of hosts that are gone
// would make the shares too small.
type Deregistrar struct {
	log          *slog.Logger
	shares       shareHolder
	registration registration
	views        viewSource
	stopping     chan struct{}
}

// Start starts the goroutine that waits for the drain.
func (d *Deregistrar) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if d.shares, err = kernel.Need[shareHolder](k); err != nil {
		return nil, err
	}
	if d.registration, err = kernel.Need[registration](k); err != nil {
		return nil, err
	}
	if d.views, err = kernel.Need[viewSource](k); err != nil {
		return nil, err
	}
	d.log = k.Log
	end := make(chan error, 1)
	go func() { end <- d.run(ctx) }()
	return end, nil
}

// Drain lets the node be withdrawn and does not wait for it.
func (d *Deregistrar) Drain(context.Context) error {
	select {
	case d.stopping <- struct{}{}:
	default:
	}
	return nil
}

func (d *Deregistrar) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopping:
	}
	if d.limitsExist() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		d.shares.AnnounceStop()
		if err := d.registration.Deregister(call); err != nil {
			d.log.Warn("this node's entry remains in the store", "error", err)
		}
		cancel()
	}
	<-ctx.Done()
	return ctx.Err()
}

// limitsExist reports whether a tenant has a limit that the nodes divide.
func (d *Deregistrar) limitsExist() bool {
	p := d.views.View().Plan()
	return p != nil && slices.ContainsFunc(p.Tenants(), (*tenant.Tenant).Limited)
}
