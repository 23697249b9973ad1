package event

import (
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/object"
)

// Kind says which accessors of an Event are set.
type Kind int

// The kinds of events.
const (
	Tick         Kind = iota // time passed; at least every 100 ms
	Received                 // Peer, Message: a peer's message arrived
	Linked                   // Peer: a connection to or from the peer is up
	Unlinked                 // Peer: the last connection to the peer is gone
	StoreReplied             // ID, Objects, Err, Revision: a store request ended
	Watched                  // ID, Change, Objects, Err: one change of a watch, or its end with Err
	Local                    // ID, Value: an event from another part of the same node
)

// Change is the type of a watched change.
type Change string

// The types of changes.
const (
	Added    Change = "ADDED"
	Modified Change = "MODIFIED"
	Deleted  Change = "DELETED"
)

// Names of local events and the types of their values.
const (
	Roster             = "roster"   // roster.Roster: the node's view of the relays changed
	Config             = "config"   // config.Config: a new version is in force on this node
	SubscriptionNeeded = "demand"   // string, a service's name: a call needs a service that the node has not subscribed to
	Upstream           = "upstream" // endpoint.State: the local upstream's state changed
	Outcomes           = "outcomes" // []outcome.Outcome: calls finished since the last event
	VersionRejected    = "judged"   // verdict.Verdict: a version was found bad
	Groups             = "groups"   // group.Group: a set of endpoints changed
)

// Event is one input to a node's state machines; its Kind says which accessors are set.
type Event struct {
	kind     Kind
	peer     string
	message  message.Message
	id       string
	change   Change
	objects  []object.Object
	revision string
	err      error
	value    any
}

// NewTick returns a Tick event.
func NewTick() Event { return Event{kind: Tick} }

// NewReceived returns a Received event for a message from the node at address peer.
func NewReceived(peer string, m message.Message) Event {
	return Event{kind: Received, peer: peer, message: m}
}

// NewLinked returns a Linked event: a connection to or from the peer is up.
func NewLinked(peer string) Event { return Event{kind: Linked, peer: peer} }

// NewUnlinked returns an Unlinked event: the last connection to the peer is gone.
func NewUnlinked(peer string) Event { return Event{kind: Unlinked, peer: peer} }

// NewStoreReplied returns the result of the store request id; revision is that of a list, from which a watch can start.
func NewStoreReplied(id string, objects []object.Object, revision string, err error) Event {
	return Event{kind: StoreReplied, id: id, objects: objects, revision: revision, err: err}
}

// NewWatched returns a Watched event for one change that the watch id reported.
func NewWatched(id string, c Change, o object.Object) Event {
	return Event{kind: Watched, id: id, change: c, objects: []object.Object{o}}
}

// NewWatchEnded returns a Watched event for the end of the watch id; err is of kind Gone if its revision was too old.
func NewWatchEnded(id string, err error) Event { return Event{kind: Watched, id: id, err: err} }

// NewLocal returns an event from another part of the same node.
func NewLocal(id string, value any) Event { return Event{kind: Local, id: id, value: value} }

// Kind returns the event's kind.
func (e Event) Kind() Kind { return e.kind }

// Peer returns the address of the other node.
func (e Event) Peer() string { return e.peer }

// Message returns the received message.
func (e Event) Message() message.Message { return e.message }

// ID returns the identifier of the request or watch, or the name of the local event.
func (e Event) ID() string { return e.id }

// Change returns the type of the watched change.
func (e Event) Change() Change { return e.change }

// Objects returns the objects of a store response; a watched change has exactly one.
func (e Event) Objects() []object.Object { return e.objects }

// Object returns the first object, or the zero Object.
func (e Event) Object() object.Object {
	if len(e.objects) == 0 {
		return object.Object{}
	}
	return e.objects[0]
}

// Revision returns the revision of a list.
func (e Event) Revision() string { return e.revision }

// Err returns why a request or a watch failed, or nil.
func (e Event) Err() error { return e.err }

// Value returns the local event's value.
func (e Event) Value() any { return e.value }
