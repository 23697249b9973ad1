package keeper

import (
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
)

// Change is one write, as a watch returns it.
type Change struct {
	changeType event.Change
	object     object.Object
	revision   uint64
}

// Type returns whether the object was added, modified or deleted.
func (c Change) Type() event.Change { return c.changeType }

// Object returns the object after the change; a deleted object has its last value and the revision of the deletion.
func (c Change) Object() object.Object { return c.object }
