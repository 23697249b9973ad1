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
	// checkInterval is the time between two checks of the upstream.
	checkInterval = 500 * time.Millisecond
	// gateInterval is the time between two checks while the gate is not ready.
	gateInterval = 50 * time.Millisecond
	// checkTimeout bounds the dial of a check. The dial also times out if the upstream's accept queue is full, so a
	// single timeout does not mean that the upstream is down.
	checkTimeout = 400 * time.Millisecond
	// maxFailedChecks is the number of consecutive failed checks after which the upstream counts as down.
	maxFailedChecks = 3
	// redialDelay is the time before the second dial after a connection has broken. A crashing process closes its
	// connections and its listener one after the other; an immediate dial succeeded in 1 of 8 crashes.
	redialDelay = 20 * time.Millisecond
)

// watch checks the upstream until ctx ends.
func (d *Dispatcher) watch(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.setState(endpoint.Starting)
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-d.checkRequested:
		}
		var pause time.Duration
		failed, pause = d.check(failed)
		d.updateAnnounced()
		timer.Reset(pause)
	}
}

// check dials the upstream once. It takes and returns the number of consecutive failed checks, and returns the time until
// the next check.
func (d *Dispatcher) check(failed int) (int, time.Duration) {
	err := d.probe()
	pause, isClosed := checkInterval, d.gate.Ready() != nil
	if isClosed {
		pause = gateInterval
	}
	switch {
	case err == nil && isClosed:
		return 0, pause
	case err == nil:
		d.setCheckedState(endpoint.Ready)
		return 0, pause
	case isRefused(err) || failed+1 >= maxFailedChecks:
		d.setCheckedState(endpoint.Starting)
	}
	return failed + 1, pause
}

// requestCheck triggers a check now, after a call has failed.
func (d *Dispatcher) requestCheck() {
	select {
	case d.checkRequested <- struct{}{}:
	default:
	}
}

// setCheckedState sets the state that a check has shown.
func (d *Dispatcher) setCheckedState(s endpoint.State) {
	d.setState(s)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.checked = true
}

// setState sets the state, and injects it if it has changed. Leaving is final.
func (d *Dispatcher) setState(s endpoint.State) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.state == s || d.state == endpoint.Leaving {
		return
	}
	d.state = s
	if s == endpoint.Ready && d.readySince.IsZero() {
		d.readySince = time.Now()
	}
	d.log.Info("upstream state", "state", s, "upstream", d.address)
	d.injector.Inject(event.NewLocal(event.Upstream, s))
}

// probe connects to the upstream and closes the connection.
func (d *Dispatcher) probe() error {
	c, err := net.DialTimeout("tcp", d.address, checkTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// isGone reports, after a connection has broken, whether nothing listens at the upstream's address any more.
func (d *Dispatcher) isGone() bool {
	if isRefused(d.probe()) {
		return true
	}
	time.Sleep(redialDelay)
	return isRefused(d.probe())
}

// isRefused reports whether the error proves that nothing listens.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
