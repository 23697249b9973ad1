package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/object"
)

// MaxSpec is the largest value that an object may have, in bytes.
const MaxSpec = 1 << 20

func init() {
	kernel.Register("objects-keeper", 10, func() kernel.Part { return &Keeper{} })
}

// Keeper is an in-memory object store with one order over all writes; its methods may be called concurrently.
type Keeper struct {
	History      int `help:"Changes kept for watches that start late or lag." default:"4096" env:"WISTERIASPOKE_OBJECTS_HISTORY"`
	HistoryBytes int `help:"Bytes of values kept in the history." default:"67108864" env:"WISTERIASPOKE_OBJECTS_HISTORY_BYTES"`

	mu       sync.Mutex
	revision uint64 // of the last write
	objects  map[string]map[string]object.Object
	history  []Change      // ascending by revision, without gaps
	bytes    int           // sum of the history's values
	written  chan struct{} // closed and replaced at each write; nil while no watch waits
}

// Check returns every bad setting with its remedy.
func (k *Keeper) Check() error {
	var errs []error
	if k.History < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--history is %d", k.History), "set it to 1 or more"))
	}
	if k.HistoryBytes < MaxSpec {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--history-bytes is %d", k.HistoryBytes),
			fmt.Sprintf("set it to %d or more, the size of the largest value", MaxSpec)))
	}
	return errors.Join(errs...)
}

// Start has nothing to run.
func (k *Keeper) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Get returns an object, or a fault of kind NotFound.
func (k *Keeper) Get(plural, name string) (object.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.find(plural, name)
}

// List returns the objects of a plural in order of name, and the revision that they stand at.
func (k *Keeper) List(plural string) ([]object.Object, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sorted(plural, ""), format(k.revision)
}

// Create stores a new object, or returns a fault of kind Conflict when the name is taken.
func (k *Keeper) Create(o object.Object) (object.Object, error) {
	if err := checkSize(o); err != nil {
		return object.Object{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.objects[o.Plural()][o.Name()]; ok {
		what := fmt.Sprintf("%s %q already exists", o.Plural(), o.Name())
		return object.Object{}, fault.New(fault.Conflict, what, "read it and update it")
	}
	return k.write(event.Added, o), nil
}

// Update replaces an object whose revision is o's, or returns a fault of kind NotFound or Conflict.
func (k *Keeper) Update(o object.Object) (object.Object, error) {
	if err := checkSize(o); err != nil {
		return object.Object{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.match(o); err != nil {
		return object.Object{}, err
	}
	return k.write(event.Modified, o), nil
}

// Delete removes an object, only at o's revision unless that is empty, and returns it with the deletion's revision.
func (k *Keeper) Delete(o object.Object) (object.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	last, err := k.find(o.Plural(), o.Name())
	if err != nil {
		return object.Object{}, err
	}
	if o.Revision() != "" {
		if err := k.match(o); err != nil {
			return object.Object{}, err
		}
	}
	return k.write(event.Deleted, last), nil
}

// find is called with the lock held.
func (k *Keeper) find(plural, name string) (object.Object, error) {
	o, ok := k.objects[plural][name]
	if !ok {
		return object.Object{}, fault.New(fault.NotFound, fmt.Sprintf("%s %q not found", plural, name), "create it first")
	}
	return o, nil
}

// match is called with the lock held.
func (k *Keeper) match(o object.Object) error {
	last, err := k.find(o.Plural(), o.Name())
	if err != nil {
		return err
	}
	if last.Revision() == o.Revision() {
		return nil
	}
	what := fmt.Sprintf("%s %q is at resourceVersion %s, not %s", o.Plural(), o.Name(), last.Revision(), o.Revision())
	return fault.New(fault.Conflict, what, "read it again and decide")
}

// write gives the next revision to a change, records it and wakes the watches; it is called with the lock held.
func (k *Keeper) write(c event.Change, o object.Object) object.Object {
	k.revision++
	o = object.New(o.Plural(), o.Name(), format(k.revision), o.Spec())
	if k.objects == nil {
		k.objects = map[string]map[string]object.Object{}
	}
	if k.objects[o.Plural()] == nil {
		k.objects[o.Plural()] = map[string]object.Object{}
	}
	if c == event.Deleted {
		delete(k.objects[o.Plural()], o.Name())
	} else {
		k.objects[o.Plural()][o.Name()] = o
	}
	k.record(Change{change: c, object: o, revision: k.revision})
	if k.written != nil {
		close(k.written)
		k.written = nil
	}
	return o
}

func (k *Keeper) record(c Change) {
	k.history = append(k.history, c)
	k.bytes += len(c.object.Spec())
	excess := 0
	for len(k.history)-excess > k.History || k.bytes > k.HistoryBytes {
		k.bytes -= len(k.history[excess].object.Spec())
		excess++
	}
	if excess == 0 {
		return
	}
	clear(k.history[:excess]) // frees the values that the array would keep alive
	k.history = k.history[excess:]
}

// sorted returns the objects of a plural by name, or only the one named; it is called with the lock held.
func (k *Keeper) sorted(plural, name string) []object.Object {
	var os []object.Object
	for _, o := range k.objects[plural] {
		if name == "" || o.Name() == name {
			os = append(os, o)
		}
	}
	slices.SortFunc(os, func(a, b object.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return os
}

func checkSize(o object.Object) error {
	if len(o.Spec()) <= MaxSpec {
		return nil
	}
	what := fmt.Sprintf("%s %q has a value of %d bytes", o.Plural(), o.Name(), len(o.Spec()))
	return fault.New(fault.Throttled, what, fmt.Sprintf("keep values within %d bytes", MaxSpec))
}

func format(revision uint64) string { return strconv.FormatUint(revision, 10) }
