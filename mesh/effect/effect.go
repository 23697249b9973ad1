package effect

import (
	"time"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/object"
)

// Kind is the kind of an Effect, which determines the accessors that are set.
type Kind int

// The kinds of effects.
const (
	Send    Kind = iota // Peer, Message: send, dialing if needed; delivery is not guaranteed
	Get                 // ID, Object's plural and name
	List                // ID, Object's plural
	Create              // ID, Object
	Update              // ID, Object with the revision it is conditional on
	Delete              // ID, Object with the revision it is conditional on
	Watch               // ID, Object's plural, name (empty for all), revision to watch from
	Unwatch             // ID
	Raise               // Event: deliver it to all machines of the same node
	Publish             // Value: publish it to the data path
	Wake                // At: send a Tick at this time
)

// Effect is one action that a machine requests.
type Effect struct {
	kind    Kind
	peer    string
	message message.Message
	id      string
	object  object.Object
	event   event.Event
	value   any
	at      time.Time
}

// NewSend returns a request to send a message to the node at address peer.
func NewSend(peer string, m message.Message) Effect {
	return Effect{kind: Send, peer: peer, message: m}
}

// NewStoreRequest returns a store request of kind Get, List, Create, Update, Delete or Watch; its result
// has the same id.
func NewStoreRequest(k Kind, id string, o object.Object) Effect {
	return Effect{kind: k, id: id, object: o}
}

// NewUnwatch returns a request to end the watch id.
func NewUnwatch(id string) Effect { return Effect{kind: Unwatch, id: id} }

// NewRaise returns a request to deliver an event to all machines of the same node.
func NewRaise(e event.Event) Effect { return Effect{kind: Raise, event: e} }

// NewPublish returns a request to publish an immutable value to the data path.
func NewPublish(value any) Effect { return Effect{kind: Publish, value: value} }

// NewWake returns a request for a Tick at the given time.
func NewWake(at time.Time) Effect { return Effect{kind: Wake, at: at} }

// Kind returns the effect's kind.
func (e Effect) Kind() Kind { return e.kind }

// Peer returns the address to send to.
func (e Effect) Peer() string { return e.peer }

// Message returns the message to send.
func (e Effect) Message() message.Message { return e.message }

// ID returns the identifier of the store request or watch.
func (e Effect) ID() string { return e.id }

// Object returns the object of a store request.
func (e Effect) Object() object.Object { return e.object }

// Event returns the event to raise.
func (e Effect) Event() event.Event { return e.event }

// Value returns the value to publish.
func (e Effect) Value() any { return e.value }

// At returns the time to wake at.
func (e Effect) At() time.Time { return e.at }
