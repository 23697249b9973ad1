package keeper

import (
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
)

// Change is one write as a watch sees it.
type Change struct {
	change   event.Change
	object   object.Object
	revision uint64
}

// Type returns whether the object was added, modified or deleted.
func (c Change) Type() event.Change { return c.change }

// Object returns the object after the change; a deleted one has its last value and the deletion's revision.
func (c Change) Object() object.Object { return c.object }
