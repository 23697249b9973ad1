package order

import (
	"fmt"
	"time"
)

// State is the state of a move.
type State string

// The states of a move.
const (
	Running   State = "running"
	Completed State = "completed"
	TakenBack State = "taken back"
)

// Fields holds the values of an Order.
type Fields struct {
	Service  string
	Target   string        // the version to move to
	Period   time.Duration // from the order until its deadline
	Created  uint64        // revision at which the order was created
	Revision uint64        // of the last change
	State    State
}

// Order is an order to move a service to a version; it is immutable.
type Order struct {
	fields Fields
}

// New returns an order with the fields.
func New(f Fields) Order { return Order{fields: f} }

// ID returns an identifier that distinguishes orders for the same service.
func (o Order) ID() string {
	return fmt.Sprintf("%s/%s/%d", o.fields.Service, o.fields.Target, o.fields.Created)
}

// Service returns the service to move.
func (o Order) Service() string { return o.fields.Service }

// Target returns the version to move to.
func (o Order) Target() string { return o.fields.Target }

// Period returns the time from the order until its deadline.
func (o Order) Period() time.Duration { return o.fields.Period }

// Revision returns the revision of the last change.
func (o Order) Revision() uint64 { return o.fields.Revision }

// State returns the state of the move.
func (o Order) State() State { return o.fields.State }
