package order

import (
	"fmt"
	"time"
)

// State is how far a move has come.
type State string

// The states of a move.
const (
	Running   State = "running"
	Completed State = "completed"
	TakenBack State = "taken back"
)

// Fields are the values of an Order.
type Fields struct {
	Service  string
	Target   string        // the version to move to
	Period   time.Duration // from the order until its deadline
	Created  uint64        // revision at which the order was made
	Revision uint64        // of the last change
	State    State
}

// Order is an immutable order.
type Order struct {
	f Fields
}

// New returns an order with the fields.
func New(f Fields) Order { return Order{f: f} }

// ID tells this order from other ones for the same service.
func (o Order) ID() string { return fmt.Sprintf("%s/%s/%d", o.f.Service, o.f.Target, o.f.Created) }

// Service returns the service to move.
func (o Order) Service() string { return o.f.Service }

// Target returns the version to move to.
func (o Order) Target() string { return o.f.Target }

// Period returns the time from the order until its deadline.
func (o Order) Period() time.Duration { return o.f.Period }

// Revision returns the revision of the last change.
func (o Order) Revision() uint64 { return o.f.Revision }

// State returns how far the move has come.
func (o Order) State() State { return o.f.State }
