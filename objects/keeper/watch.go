package keeper

import (
	"context"
	"fmt"
	"strconv"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
)

// Watch is a cursor over the changes of one plural; it is not safe for concurrent use.
//
// It has no queue of its own: Next reads the keeper's history, and returns a fault of kind Gone to a reader that lags
// behind it.
type Watch struct {
	keeper       *Keeper
	plural, name string
	era          uint64   // of lastSeen
	lastSeen     uint64   // revision of the last change read from the history
	initial      []Change // objects that existed at the start of a watch without a revision
}

// Watch returns a cursor over the changes after the revision; an empty name selects all names.
//
// With an empty revision or "0" the watch begins with the existing objects, as Added. A revision that is older than the
// history, or higher than the store's, is a fault of kind Gone.
func (k *Keeper) Watch(plural, name, revision string) (*Watch, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &Watch{keeper: k, plural: plural, name: name, era: k.era, lastSeen: k.revision}
	if revision == "" || revision == "0" {
		for _, o := range k.sortedObjects(plural, name) {
			w.initial = append(w.initial, Change{changeType: event.Added, object: o})
		}
		return w, nil
	}
	from, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		problem := fmt.Sprintf("resourceVersion %q is not a version of this store", revision)
		return nil, fault.New(fault.Invalid, problem, "use one that the store returned")
	}
	if from > k.revision {
		problem := fmt.Sprintf("resourceVersion %d is ahead of the store's %d", from, k.revision)
		return nil, fault.New(fault.Gone, problem, "list again and watch from the list's version")
	}
	w.lastSeen = from
	return w, w.checkHistory()
}

// Next waits for the next change and returns it, or returns ctx's error or a fault of kind Gone.
func (w *Watch) Next(ctx context.Context) (Change, error) {
	if len(w.initial) > 0 {
		c := w.initial[0]
		w.initial = w.initial[1:]
		return c, nil
	}
	for {
		c, nextWrite, err := w.advance()
		if err != nil || nextWrite == nil {
			return c, err
		}
		select {
		case <-nextWrite:
		case <-ctx.Done():
			return Change{}, ctx.Err()
		}
	}
}

// advance returns the next matching change, or a channel that the next write closes if there is none yet.
func (w *Watch) advance() (Change, <-chan struct{}, error) {
	k := w.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := w.checkHistory(); err != nil {
		return Change{}, nil, err
	}
	unseen := int(k.revision - w.lastSeen) // at most len(k.history), as checkHistory returned nil
	for _, c := range k.history[len(k.history)-unseen:] {
		w.lastSeen = c.revision
		if c.object.Plural() == w.plural && (w.name == "" || c.object.Name() == w.name) {
			return c, nil, nil
		}
	}
	if k.nextWrite == nil {
		k.nextWrite = make(chan struct{})
	}
	return Change{}, k.nextWrite, nil
}

// checkHistory returns a fault if changes after lastSeen are not in the history; the caller holds the lock.
func (w *Watch) checkHistory() error {
	if w.era != w.keeper.era {
		return fault.New(fault.Gone, "the store was restored from an older copy", "list again and watch from the list's version")
	}
	lastDropped := w.keeper.revision - uint64(len(w.keeper.history))
	if w.lastSeen >= lastDropped {
		return nil
	}
	problem := fmt.Sprintf("resourceVersion %d is older than the history, which starts after %d", w.lastSeen, lastDropped)
	return fault.New(fault.Gone, problem, "list again and watch from the list's version")
}
