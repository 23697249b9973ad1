package accepter

import (
	"context"
	"errors"
	"fmt"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// result is what an object that stands says of a write over an older one.
type result int

const (
	accepted result = iota // the write took effect
	lost                   // it did not and will not; another writer won
	rebase                 // it did not and will not; the other write is no reason to give up
	unclear                // the object does not tell
)

// change is one conditional write of one object; it decides and does not send.
type change interface {
	// what says what the write does, for errors.
	what() string
	// tell says how to find out whether the write took effect.
	tell() string
	// build returns the object to write over base, which has no revision if the object does not stand.
	build(base object.Object) (object.Object, error)
	// settle judges a write over base by the object that stands now, with another revision than base. The error names
	// the winner and is used if the write is lost, or unclear and known to be refused.
	settle(base, now object.Object) (result, error)
}

// attempt is the state of one commit.
type attempt struct {
	change change
	base   object.Object
	// doubt is true while a write over base may have taken effect, or may still.
	doubt bool
}

// commit writes a change over base with one effect at most. It returns nil only when the write is known to stand.
func (a *Accepter) commit(ctx context.Context, base object.Object, c change) error {
	t := &attempt{change: c, base: base}
	for failed := 0; ; failed++ {
		next, err := c.build(t.base)
		if err != nil {
			return err
		}
		if len(next.Spec()) > valueLimit {
			return fault.New(fault.Invalid, c.what()+" needs more than the 1 MB of a stored object", "declare fewer services")
		}
		err = a.write(ctx, next)
		if err == nil {
			return nil
		}
		done, err := a.resolve(ctx, t, err)
		if done {
			return err
		}
		if a.backOff(ctx, failed) != nil {
			return t.givenUp(err)
		}
	}
}

func (a *Accepter) write(ctx context.Context, o object.Object) error {
	var err error
	if o.Revision() == "" {
		_, err = a.Store.Create(ctx, o)
	} else {
		_, err = a.Store.Update(ctx, o)
	}
	return err
}

// resolve finds out what became of a failed write; done means that err, which may be nil, is the outcome.
func (a *Accepter) resolve(ctx context.Context, t *attempt, err error) (done bool, _ error) {
	switch fault.KindOf(err) {
	case fault.Throttled, fault.Unavailable:
		return false, err
	case fault.Invalid, fault.Denied:
		return !t.doubt, err
	}
	t.doubt = t.doubt || sent(err)
	lasting, cancel := a.lasting(ctx)
	defer cancel()
	now, failure := a.Read(lasting, t.base.Plural(), t.base.Name())
	if failure != nil {
		return true, t.unread(failure)
	}
	// An unchanged revision shows no effect so far. The next attempt has the same condition and the same token, so
	// that at most one of them takes effect even if the first is still under way.
	if now.Revision() == t.base.Revision() {
		return false, err
	}
	if now.Revision() == "" {
		return true, t.unread(fault.New(fault.NotFound, now.Plural()+"/"+now.Name()+" was deleted", ""))
	}
	r, winner := t.change.settle(t.base, now)
	switch {
	case r == accepted:
		return true, nil
	case r == rebase:
		t.base = now
		t.doubt = false
		return false, err
	case r == unclear && t.doubt:
		return true, t.unknown(winner)
	}
	return true, winner
}

// givenUp returns the outcome of a commit whose context ended.
func (t *attempt) givenUp(err error) error {
	if t.doubt {
		return t.unknown(err)
	}
	return fault.Wrap(fault.Unavailable, bare(err), t.change.what()+" was not done", "nothing was changed; try again later")
}

// unread returns the outcome of a commit whose write failed and could not be read back.
func (t *attempt) unread(err error) error {
	if t.doubt {
		return t.unknown(err)
	}
	return fault.Wrap(fault.Conflict, bare(err), t.change.what()+" lost against another writer, whose name could not be read",
		"run wisteriaspoke presets history, then decide again")
}

func (t *attempt) unknown(err error) error {
	return fault.Wrap(fault.MayHaveRun, bare(err), "the outcome of "+t.change.what()+" is unknown",
		"run "+t.change.tell()+", before you try again")
}

// bare returns an error without its remedies, which do not apply to the error that wraps it.
func bare(err error) error {
	var e *fault.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Unwrap() == nil {
		return errors.New(e.Message())
	}
	return fmt.Errorf("%s: %w", e.Message(), bare(e.Unwrap()))
}
