package keeper

import (
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/object"
)

// savedState is the state that a restore goes back to; the zero value is that of an empty store.
type savedState struct {
	revision    uint64
	objects     map[string]map[string]object.Object
	history     []Change
	historySize int
}

// Save keeps the store's present state for Restore.
func (k *Keeper) Save() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.saved = savedState{revision: k.revision, objects: copyObjects(k.objects), history: slices.Clone(k.history), historySize: k.historySize}
}

// Restore goes back to the state at the last call of Save, as a store does that is restored from an older copy: later
// changes are lost, their revisions are given out again, and open watches end with a fault of kind Gone.
func (k *Keeper) Restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.revision, k.objects = k.saved.revision, copyObjects(k.saved.objects)
	k.history, k.historySize = slices.Clone(k.saved.history), k.saved.historySize
	if k.nextWrite != nil {
		close(k.nextWrite)
		k.nextWrite = nil
	}
}

// Era returns the number of restores so far.
func (k *Keeper) Era() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

func copyObjects(objects map[string]map[string]object.Object) map[string]map[string]object.Object {
	c := make(map[string]map[string]object.Object, len(objects))
	for plural, byName := range objects {
		c[plural] = maps.Clone(byName)
	}
	return c
}
