package accepter

import (
	"context"
	"errors"
	"fmt"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// result is the outcome of a write, as far as the current object shows it.
type result int

const (
	accepted      result = iota // the write took effect
	rejected                    // it did not and will not; another writer's write replaced the base
	rebase                      // it did not and will not; retry over the current object, as the writes do not conflict
	indeterminate               // the object does not show whether the write took effect
)

// conditionalWrite builds one write of one object and evaluates its outcome; it does not send requests.
type conditionalWrite interface {
	// description says what the write does, for errors.
	description() string
	// verification names the command that shows whether the write took effect, for errors.
	verification() string
	// build returns the object to write over base, which has no revision if the object does not exist.
	build(base object.Object) (object.Object, error)
	// evaluate returns the outcome of a write over base, given the current object, whose revision differs from that of
	// base. The error names the other writer and is used if the write is rejected, or indeterminate but known not to
	// have taken effect.
	evaluate(base, now object.Object) (result, error)
}

// commitState is the state of one commit.
type commitState struct {
	write conditionalWrite
	base  object.Object
	// inDoubt is true while a write over base may have taken effect or may still do so.
	inDoubt bool
}

// commit sends a write over base until its outcome is known or ctx ends; it takes effect at most once. It returns nil
// only if the write is known to have taken effect.
func (a *Accepter) commit(ctx context.Context, base object.Object, w conditionalWrite) error {
	t := &commitState{write: w, base: base}
	for failed := 0; ; failed++ {
		next, err := w.build(t.base)
		if err != nil {
			return err
		}
		if len(next.Spec()) > maxValueBytes {
			return fault.New(fault.Invalid, w.description()+" needs more than the 1 MB of a stored object", "declare fewer services")
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
			return t.abandoned(err)
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

// resolve determines the outcome of a failed write; if done is true, the returned error, which may be nil, is the
// outcome.
func (a *Accepter) resolve(ctx context.Context, t *commitState, err error) (done bool, _ error) {
	switch fault.KindOf(err) {
	case fault.Throttled, fault.Unavailable:
		return false, err
	case fault.Invalid, fault.Denied:
		return !t.inDoubt, err
	}
	t.inDoubt = t.inDoubt || mayHaveReachedStore(err)
	graceCtx, cancel := a.withGrace(ctx)
	defer cancel()
	now, failure := a.Read(graceCtx, t.base.Plural(), t.base.Name())
	if failure != nil {
		return true, t.unreadable(failure)
	}
	// An unchanged revision means that the write has had no effect so far. The next attempt has the same
	// condition and the same token, so that at most one of them takes effect even if the first is still under way.
	if now.Revision() == t.base.Revision() {
		return false, err
	}
	if now.Revision() == "" {
		return true, t.unreadable(fault.New(fault.NotFound, now.Plural()+"/"+now.Name()+" was deleted", ""))
	}
	r, winner := t.write.evaluate(t.base, now)
	switch {
	case r == accepted:
		return true, nil
	case r == rebase:
		t.base = now
		t.inDoubt = false
		return false, err
	case r == indeterminate && t.inDoubt:
		return true, t.outcomeUnknown(winner)
	}
	return true, winner
}

// abandoned returns the error of a commit whose context ended.
func (t *commitState) abandoned(err error) error {
	if t.inDoubt {
		return t.outcomeUnknown(err)
	}
	return fault.Wrap(fault.Unavailable, withoutRemedies(err), t.write.description()+" was not done", "nothing was changed; try again later")
}

// unreadable returns the error of a commit whose write failed and could not be read back.
func (t *commitState) unreadable(err error) error {
	if t.inDoubt {
		return t.outcomeUnknown(err)
	}
	return fault.Wrap(fault.Conflict, withoutRemedies(err), t.write.description()+" lost against another writer, whose name could not be read",
		"run wisteriaspoke presets history, then decide again")
}

func (t *commitState) outcomeUnknown(err error) error {
	return fault.Wrap(fault.MayHaveRun, withoutRemedies(err), "the outcome of "+t.write.description()+" is unknown",
		"run "+t.write.verification()+", before you try again")
}

// withoutRemedies returns an error without its remedies, which do not apply to the error that wraps it.
func withoutRemedies(err error) error {
	var e *fault.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Unwrap() == nil {
		return errors.New(e.Message())
	}
	return fmt.Errorf("%s: %w", e.Message(), withoutRemedies(e.Unwrap()))
}
