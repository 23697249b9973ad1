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

// MaxSpecSize is the maximum size of an object's value, in bytes.
const MaxSpecSize = 1 << 20

func init() {
	kernel.Register("objects-keeper", 10, func() kernel.Part { return &Keeper{} })
}

// Keeper is an in-memory object store with a total order of all writes; its methods may be called concurrently.
type Keeper struct {
	History      int `help:"Changes kept for watches that start late or lag." default:"4096" env:"WISTERIASPOKE_OBJECTS_HISTORY"`
	HistoryBytes int `help:"Bytes of values kept in the history." default:"67108864" env:"WISTERIASPOKE_OBJECTS_HISTORY_BYTES"`

	mu          sync.Mutex
	era         uint64 // number of restores
	saved       savedState
	revision    uint64 // of the last write
	objects     map[string]map[string]object.Object
	history     []Change      // ascending by revision, without gaps
	historySize int           // total size of the values in the history
	nextWrite   chan struct{} // closed by the next write; nil while no watch waits for one
}

// Check returns every bad setting with its remedy.
func (k *Keeper) Check() error {
	var errs []error
	if k.History < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--history is %d", k.History), "set it to 1 or more"))
	}
	if k.HistoryBytes < MaxSpecSize {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--history-bytes is %d", k.HistoryBytes),
			fmt.Sprintf("set it to %d or more, the size of the largest value", MaxSpecSize)))
	}
	return errors.Join(errs...)
}

// Start implements kernel.Part; nothing runs in the background.
func (k *Keeper) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Get returns an object, or a fault of kind NotFound.
func (k *Keeper) Get(plural, name string) (object.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.find(plural, name)
}

// List returns the objects of a plural sorted by name, and the store's current revision.
func (k *Keeper) List(plural string) ([]object.Object, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sortedObjects(plural, ""), formatRevision(k.revision)
}

// Create stores a new object, or returns a fault of kind Conflict if the name exists.
func (k *Keeper) Create(o object.Object) (object.Object, error) {
	if err := checkSize(o); err != nil {
		return object.Object{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.objects[o.Plural()][o.Name()]; ok {
		problem := fmt.Sprintf("%s %q already exists", o.Plural(), o.Name())
		return object.Object{}, fault.New(fault.Conflict, problem, "read it and update it")
	}
	return k.write(event.Added, o), nil
}

// Update replaces an object, or returns a fault of kind NotFound, or Conflict unless o has the current revision.
func (k *Keeper) Update(o object.Object) (object.Object, error) {
	if err := checkSize(o); err != nil {
		return object.Object{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkRevision(o); err != nil {
		return object.Object{}, err
	}
	return k.write(event.Modified, o), nil
}

// Delete removes an object and returns it with the revision of the deletion.
//
// It returns a fault of kind NotFound, or Conflict if o has a revision that is not the current one.
func (k *Keeper) Delete(o object.Object) (object.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stored, err := k.find(o.Plural(), o.Name())
	if err != nil {
		return object.Object{}, err
	}
	if o.Revision() != "" {
		if err := k.checkRevision(o); err != nil {
			return object.Object{}, err
		}
	}
	return k.write(event.Deleted, stored), nil
}

// find returns an object, or a fault of kind NotFound; the caller holds the lock.
func (k *Keeper) find(plural, name string) (object.Object, error) {
	o, ok := k.objects[plural][name]
	if !ok {
		return object.Object{}, fault.New(fault.NotFound, fmt.Sprintf("%s %q not found", plural, name), "create it first")
	}
	return o, nil
}

// checkRevision returns a fault unless o has the current revision of its object; the caller holds the lock.
func (k *Keeper) checkRevision(o object.Object) error {
	stored, err := k.find(o.Plural(), o.Name())
	if err != nil {
		return err
	}
	if stored.Revision() == o.Revision() {
		return nil
	}
	problem := fmt.Sprintf("%s %q is at resourceVersion %s, not %s", o.Plural(), o.Name(), stored.Revision(), o.Revision())
	return fault.New(fault.Conflict, problem, "read it again and decide")
}

// write stores o under the next revision, appends the change to the history and wakes the watches; the caller holds
// the lock.
func (k *Keeper) write(changeType event.Change, o object.Object) object.Object {
	k.revision++
	o = object.New(o.Plural(), o.Name(), formatRevision(k.revision), o.Spec())
	if k.objects == nil {
		k.objects = map[string]map[string]object.Object{}
	}
	if k.objects[o.Plural()] == nil {
		k.objects[o.Plural()] = map[string]object.Object{}
	}
	if changeType == event.Deleted {
		delete(k.objects[o.Plural()], o.Name())
	} else {
		k.objects[o.Plural()][o.Name()] = o
	}
	k.appendHistory(Change{changeType: changeType, object: o, revision: k.revision})
	if k.nextWrite != nil {
		close(k.nextWrite)
		k.nextWrite = nil
	}
	return o
}

// appendHistory appends c and drops the oldest changes beyond the limits; the caller holds the lock.
func (k *Keeper) appendHistory(c Change) {
	k.history = append(k.history, c)
	k.historySize += len(c.object.Spec())
	dropped := 0
	for len(k.history)-dropped > k.History || k.historySize > k.HistoryBytes {
		k.historySize -= len(k.history[dropped].object.Spec())
		dropped++
	}
	if dropped == 0 {
		return
	}
	clear(k.history[:dropped]) // otherwise the backing array keeps the values alive
	k.history = k.history[dropped:]
}

// sortedObjects returns the objects of a plural sorted by name, only the named one unless name is empty; the caller
// holds the lock.
func (k *Keeper) sortedObjects(plural, name string) []object.Object {
	var objects []object.Object
	for _, o := range k.objects[plural] {
		if name == "" || o.Name() == name {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b object.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return objects
}

func checkSize(o object.Object) error {
	if len(o.Spec()) <= MaxSpecSize {
		return nil
	}
	problem := fmt.Sprintf("%s %q has a value of %d bytes", o.Plural(), o.Name(), len(o.Spec()))
	return fault.New(fault.Throttled, problem, fmt.Sprintf("keep values within %d bytes", MaxSpecSize))
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }
