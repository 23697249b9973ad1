package accepter

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/pauser"
)

// Store is the platform's object API. Its errors are of kind NotFound, Conflict, Throttled, Unavailable (the
// request was not sent) or MayHaveRun (it was sent, but no response was received).
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, plural, name string) (object.Object, error)
	// List returns all objects of a plural and the revision of the list.
	List(ctx context.Context, plural string) ([]object.Object, string, error)
	// Create stores an object that does not exist yet and returns it with its revision.
	Create(ctx context.Context, o object.Object) (object.Object, error)
	// Update replaces an object whose current revision is that of o, and returns it with the new revision.
	Update(ctx context.Context, o object.Object) (object.Object, error)
}

// The pauses between attempts double from minBackoff to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// maxValueBytes is the size of the largest value that the store accepts.
const maxValueBytes = 1 << 20

// maxConcurrentRequests limits the concurrent store requests of one operation, which shares the store's rate limit
// with the control plane.
const maxConcurrentRequests = 8

// Accepter writes operators' changes to the store; its fields are set before use and not changed afterwards.
type Accepter struct {
	Store Store
	// NewToken returns a new random token, by which a writer recognises its own write.
	NewToken func() string
	// Pause waits for the duration, or returns the error of ctx if that ends first.
	Pause func(ctx context.Context, d time.Duration) error
	// Jitter returns a random part of a pause, so that operators do not retry at the same time.
	Jitter func(d time.Duration) time.Duration
	// Grace is how long after the end of its context a write whose outcome is unknown may still be read back.
	Grace time.Duration
}

// New returns an accepter with real pauses, random tokens and a grace of 5 s.
func New(s Store) *Accepter {
	return &Accepter{Store: s, NewToken: rand.Text, Pause: pauser.Pause, Jitter: jitter, Grace: 5 * time.Second}
}

func jitter(d time.Duration) time.Duration { return d/2 + mathrand.N(d/2+1) }

// backOff pauses before the next attempt; failed is the number of failures before the last one.
func (a *Accepter) backOff(ctx context.Context, failed int) error {
	d := maxBackoff
	if failed < 6 {
		d = min(d, minBackoff<<failed)
	}
	return a.Pause(ctx, a.Jitter(d))
}

// Read returns an object, or one without a revision if it does not exist. It retries until ctx ends, since a read has
// no effect.
func (a *Accepter) Read(ctx context.Context, plural, name string) (object.Object, error) {
	var o object.Object
	err := a.retryRead(ctx, func() error {
		var err error
		o, err = a.Store.Get(ctx, plural, name)
		return err
	})
	if fault.KindOf(err) == fault.NotFound {
		return object.New(plural, name, "", nil), nil
	}
	return o, err
}

// List returns all objects of a plural; it retries until ctx ends.
func (a *Accepter) List(ctx context.Context, plural string) ([]object.Object, error) {
	var all []object.Object
	err := a.retryRead(ctx, func() error {
		var err error
		all, _, err = a.Store.List(ctx, plural)
		return err
	})
	return all, err
}

// retryRead runs a read request until it succeeds, fails permanently or ctx ends.
func (a *Accepter) retryRead(ctx context.Context, request func() error) error {
	for failed := 0; ; failed++ {
		err := request()
		if err == nil || isPermanent(err) {
			return err
		}
		if a.backOff(ctx, failed) != nil {
			return fault.Wrap(fault.Unavailable, withoutRemedies(err), "reading from the store was given up", "try again later")
		}
	}
}

// isPermanent reports whether the store answered and would give the same answer to a retry.
func isPermanent(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotFound, fault.Conflict, fault.Invalid, fault.Denied:
		return true
	}
	return false
}

// mayHaveReachedStore reports whether a failed write may have reached the store, which is assumed for errors of unknown
// kind.
func mayHaveReachedStore(err error) bool {
	switch fault.KindOf(err) {
	case fault.Throttled, fault.Unavailable:
		return false
	}
	return !isPermanent(err)
}

// withGrace returns a context that ends when the grace has passed after the end of ctx.
func (a *Accepter) withGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(pauser.Pause(inner, a.Grace), context.Canceled) {
			return
		}
		cancel()
	})
	return inner, func() {
		stop()
		cancel()
	}
}
