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

// Store is the platform's object API. Errors are faults of kind NotFound, Conflict, Throttled, Unavailable (the
// request was not sent) or MayHaveRun (it was sent and no answer came).
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, plural, name string) (object.Object, error)
	// List returns all objects of a plural and the revision of the list.
	List(ctx context.Context, plural string) ([]object.Object, string, error)
	// Create stores an object that does not stand and returns it with its revision.
	Create(ctx context.Context, o object.Object) (object.Object, error)
	// Update replaces an object that stands with the revision of o and returns it with the new revision.
	Update(ctx context.Context, o object.Object) (object.Object, error)
}

// The pauses between attempts double from the shortest to the longest.
const (
	shortestPause = 50 * time.Millisecond
	longestPause  = 2 * time.Second
)

// valueLimit is the largest value that the store takes, in bytes.
const valueLimit = 1 << 20

// workers bounds the store requests of one operation, which shares the store's rate with the control plane.
const workers = 8

// Accepter writes for operators; its fields are set before use and not changed afterwards.
type Accepter struct {
	Store Store
	// NewToken draws the mark by which a writer recognises its own write.
	NewToken func() string
	// Pause waits for the duration, or returns the error of ctx if that ends first.
	Pause func(ctx context.Context, d time.Duration) error
	// Jitter returns a random part of a pause, so that operators do not try again in step.
	Jitter func(d time.Duration) time.Duration
	// Grace is how long a write in doubt is read back after its context has ended.
	Grace time.Duration
}

// New returns an accepter on the real clock with random tokens.
func New(s Store) *Accepter {
	return &Accepter{Store: s, NewToken: rand.Text, Pause: pauser.Pause, Jitter: jitter, Grace: 5 * time.Second}
}

func jitter(d time.Duration) time.Duration { return d/2 + mathrand.N(d/2+1) }

// backOff pauses before the attempt that follows the given number of failed ones.
func (a *Accepter) backOff(ctx context.Context, failed int) error {
	d := longestPause
	if failed < 6 {
		d = min(d, shortestPause<<failed)
	}
	return a.Pause(ctx, a.Jitter(d))
}

// Read returns an object, or one without a revision if it does not stand. It tries again until ctx ends, since a read
// has no effect.
func (a *Accepter) Read(ctx context.Context, plural, name string) (object.Object, error) {
	var o object.Object
	err := a.repeat(ctx, func() error {
		var err error
		o, err = a.Store.Get(ctx, plural, name)
		return err
	})
	if fault.KindOf(err) == fault.NotFound {
		return object.New(plural, name, "", nil), nil
	}
	return o, err
}

// List returns all objects of a plural; it tries again until ctx ends.
func (a *Accepter) List(ctx context.Context, plural string) ([]object.Object, error) {
	var all []object.Object
	err := a.repeat(ctx, func() error {
		var err error
		all, _, err = a.Store.List(ctx, plural)
		return err
	})
	return all, err
}

// repeat runs a request without effect until it succeeds, fails for good or ctx ends.
func (a *Accepter) repeat(ctx context.Context, request func() error) error {
	for failed := 0; ; failed++ {
		err := request()
		if err == nil || final(err) {
			return err
		}
		if a.backOff(ctx, failed) != nil {
			return fault.Wrap(fault.Unavailable, bare(err), "reading from the store was given up", "try again later")
		}
	}
}

// final reports whether the store answered and would answer the same again.
func final(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotFound, fault.Conflict, fault.Invalid, fault.Denied:
		return true
	}
	return false
}

// sent reports whether a failed write may have reached the store; an error of unknown origin may.
func sent(err error) bool {
	switch fault.KindOf(err) {
	case fault.Throttled, fault.Unavailable:
		return false
	}
	return !final(err)
}

// lasting returns a context that ends the grace after ctx does.
func (a *Accepter) lasting(ctx context.Context) (context.Context, context.CancelFunc) {
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
