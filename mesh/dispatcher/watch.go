package dispatcher

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
)

const (
	// interval is the time between two checks of the upstream.
	interval = 500 * time.Millisecond
	// patience bounds a check's dial. A full accept queue makes it time out, so a single time-out is not a loss.
	patience = 400 * time.Millisecond
	// silent is the number of checks in a row without an answer after which the upstream counts as lost.
	silent = 3
)

// watch checks the upstream until ctx ends.
func (d *Dispatcher) watch(ctx context.Context) error {
	defer close(d.watched)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	d.become(endpoint.Starting)
	missed := 0
	for {
		missed = d.check(missed)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.suspected:
		}
	}
}

// check dials the upstream once, given the number of unanswered checks before, and returns the new number.
func (d *Dispatcher) check(missed int) int {
	err := d.connect()
	switch {
	case err == nil:
		d.become(endpoint.Ready)
		return 0
	case refused(err) || missed+1 >= silent:
		d.become(endpoint.Starting)
	}
	return missed + 1
}

// suspect asks for a check now, after a call has failed.
func (d *Dispatcher) suspect() {
	select {
	case d.suspected <- struct{}{}:
	default:
	}
}

// become injects the state if it is new. Leaving is final.
func (d *Dispatcher) become(s endpoint.State) {
	for {
		old := d.state.Load()
		if old != nil && (*old == s || *old == endpoint.Leaving) {
			return
		}
		if d.state.CompareAndSwap(old, &s) {
			break
		}
	}
	d.log.Info("upstream state", "state", s, "upstream", d.address)
	d.injector.Inject(event.NewLocal(event.Upstream, s))
}

// connect dials the upstream and closes the connection.
func (d *Dispatcher) connect() error {
	c, err := net.DialTimeout("tcp", d.address, patience)
	if err != nil {
		return err
	}
	return c.Close()
}

// refused reports whether an error proves that nothing listens.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
