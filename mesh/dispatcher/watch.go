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
	// checkLimit bounds a check's dial. A full accept queue makes it time out, so a single time-out is not a loss.
	checkLimit = 400 * time.Millisecond
	// maxMissed is the number of checks in a row without an answer after which the upstream counts as lost.
	maxMissed = 3
	// goneWait is the time after which the upstream is dialled again if a connection has broken. A dying process closes
	// its connections and its listener one after the other; a dial right away succeeded in 1 of 8 crashes.
	goneWait = 20 * time.Millisecond
)

// watch checks the upstream until ctx ends.
func (d *Dispatcher) watch(ctx context.Context) error {
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
	case err == nil && d.gate.Ready() != nil:
		return 0
	case err == nil:
		d.become(endpoint.Ready)
		return 0
	case refused(err) || missed+1 >= maxMissed:
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
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.state == s || d.state == endpoint.Leaving {
		return
	}
	d.state = s
	d.log.Info("upstream state", "state", s, "upstream", d.address)
	d.injector.Inject(event.NewLocal(event.Upstream, s))
}

// connect dials the upstream and closes the connection.
func (d *Dispatcher) connect() error {
	c, err := net.DialTimeout("tcp", d.address, checkLimit)
	if err != nil {
		return err
	}
	return c.Close()
}

// gone reports whether nothing listens at the upstream's address any more, after a connection to it has broken.
func (d *Dispatcher) gone() bool {
	if refused(d.connect()) {
		return true
	}
	time.Sleep(goneWait)
	return refused(d.connect())
}

// refused reports whether an error proves that nothing listens.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
