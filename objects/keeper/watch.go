package keeper

import (
	"context"
	"fmt"
	"strconv"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
)

// Watch is a cursor over the changes of one plural; one goroutine at a time may use it.
//
// It has no queue of its own: a reader that lags behind the history gets a fault of kind Gone.
type Watch struct {
	keeper       *Keeper
	plural, name string
	seen         uint64   // revision of the last change looked at
	initial      []Change // objects that stood at the start of a watch without a revision
}

// Watch returns the changes after the revision, of all names when name is empty.
//
// An empty revision or "0" begins with the objects that stand, as Added. A revision that is older than the history, or
// that this store has not reached, is a fault of kind Gone.
func (k *Keeper) Watch(plural, name, revision string) (*Watch, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &Watch{keeper: k, plural: plural, name: name, seen: k.revision}
	if revision == "" || revision == "0" {
		for _, o := range k.sorted(plural, name) {
			w.initial = append(w.initial, Change{change: event.Added, object: o})
		}
		return w, nil
	}
	from, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		what := fmt.Sprintf("resourceVersion %q is not a version of this store", revision)
		return nil, fault.New(fault.Invalid, what, "use one that the store returned")
	}
	if from > k.revision {
		what := fmt.Sprintf("resourceVersion %d is ahead of the store's %d", from, k.revision)
		return nil, fault.New(fault.Gone, what, "list again and watch from the list's version")
	}
	w.seen = from
	return w, w.gone()
}

// Next returns the next change, waiting for it if needed; it ends with ctx's error or a fault of kind Gone.
func (w *Watch) Next(ctx context.Context) (Change, error) {
	if len(w.initial) > 0 {
		c := w.initial[0]
		w.initial = w.initial[1:]
		return c, nil
	}
	for {
		c, written, err := w.advance()
		if err != nil || written == nil {
			return c, err
		}
		select {
		case <-written:
		case <-ctx.Done():
			return Change{}, ctx.Err()
		}
	}
}

// advance returns the next matching change, or else a channel that the next write closes.
func (w *Watch) advance() (Change, <-chan struct{}, error) {
	k := w.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := w.gone(); err != nil {
		return Change{}, nil, err
	}
	unseen := int(k.revision - w.seen) // at most len(k.history), since the watch is not gone
	for _, c := range k.history[len(k.history)-unseen:] {
		w.seen = c.revision
		if c.object.Plural() == w.plural && (w.name == "" || c.object.Name() == w.name) {
			return c, nil, nil
		}
	}
	if k.written == nil {
		k.written = make(chan struct{})
	}
	return Change{}, k.written, nil
}

// gone is called with the lock held.
func (w *Watch) gone() error {
	oldest := w.keeper.revision - uint64(len(w.keeper.history))
	if w.seen >= oldest {
		return nil
	}
	what := fmt.Sprintf("resourceVersion %d is older than the history, which starts after %d", w.seen, oldest)
	return fault.New(fault.Gone, what, "list again and watch from the list's version")
}
