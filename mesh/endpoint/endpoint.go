package endpoint

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of an upstream as its node announces it.
type State string

// The states of an endpoint.
const (
	Starting State = "starting" // receives no calls yet
	Ready    State = "ready"
	Leaving  State = "leaving" // receives no new calls
	Suspect  State = "suspect" // announcements are missing; used only if no endpoint is ready
)

// Endpoint describes an upstream; it is immutable. The node at Address receives the calls for it.
type Endpoint struct {
	fields wireFormat
}

type wireFormat struct {
	Address     string `json:"address" cbor:"1,keyasint"`
	Service     string `json:"service" cbor:"2,keyasint"`
	Version     string `json:"version" cbor:"3,keyasint"`
	DataCentre  string `json:"centre" cbor:"4,keyasint"`
	Region      string `json:"region" cbor:"5,keyasint"`
	Slots       int    `json:"slots" cbor:"6,keyasint"`
	State       State  `json:"state" cbor:"7,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"8,keyasint"`
	Joined      int64  `json:"joined" cbor:"9,keyasint"` // milliseconds since 1970
	Instance    string `json:"instance,omitempty" cbor:"10,keyasint,omitempty"`
	WarmupEnd   int64  `json:"warm,omitempty" cbor:"11,keyasint,omitempty"` // milliseconds since 1970

	Limit     float64 `json:"limit,omitempty" cbor:"12,keyasint,omitempty"` // calls a second
	Withdrawn bool    `json:"withdrawn,omitempty" cbor:"13,keyasint,omitempty"`
}

// Fields holds the values of a new Endpoint.
type Fields struct {
	Address, Service, Version, DataCentre, Region string
	Slots                                         int
	State                                         State
	Incarnation                                   uint64
	Joined                                        time.Time
	Instance                                      string    // identifies one start of the upstream
	WarmupEnd                                     time.Time // when the cold start ends
	Limit                                         float64   // calls a second from all nodes; 0 without a limit
	Withdrawn                                     bool      // this start of the upstream leaves for good
}

// New returns an endpoint with the fields.
func New(f Fields) Endpoint {
	return Endpoint{fields: wireFormat{
		Address: f.Address, Service: f.Service, Version: f.Version, DataCentre: f.DataCentre, Region: f.Region,
		Slots: f.Slots, State: f.State, Incarnation: f.Incarnation, Joined: f.Joined.UnixMilli(), Instance: f.Instance,
		WarmupEnd: unixMillis(f.WarmupEnd), Limit: f.Limit, Withdrawn: f.Withdrawn,
	}}
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// MarshalJSON encodes the unexported fields.
func (e Endpoint) MarshalJSON() ([]byte, error) { return json.Marshal(e.fields) }

// UnmarshalJSON decodes what MarshalJSON encodes.
func (e *Endpoint) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &e.fields) }

// MarshalCBOR encodes the endpoint for messages between nodes.
func (e Endpoint) MarshalCBOR() ([]byte, error) { return cbor.Marshal(e.fields) }

// UnmarshalCBOR decodes an endpoint from a message between nodes.
func (e *Endpoint) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &e.fields) }

// Address returns the address of the endpoint's node.
func (e Endpoint) Address() string { return e.fields.Address }

// Service returns the service's name.
func (e Endpoint) Service() string { return e.fields.Service }

// Version returns the upstream's version.
func (e Endpoint) Version() string { return e.fields.Version }

// DataCentre returns the data centre's name.
func (e Endpoint) DataCentre() string { return e.fields.DataCentre }

// Region returns the region's name.
func (e Endpoint) Region() string { return e.fields.Region }

// Slots returns how many concurrent calls the upstream accepts.
func (e Endpoint) Slots() int { return e.fields.Slots }

// State returns the upstream's state.
func (e Endpoint) State() State { return e.fields.State }

// Incarnation returns a number that is higher after each restart.
func (e Endpoint) Incarnation() uint64 { return e.fields.Incarnation }

// Joined returns when the endpoint joined its service's set of endpoints, to the millisecond.
func (e Endpoint) Joined() time.Time { return time.UnixMilli(e.fields.Joined) }

// Instance returns the identifier of one start of the upstream, or the empty string.
func (e Endpoint) Instance() string { return e.fields.Instance }

// WarmupEnd returns when the upstream's cold start ends, to the millisecond.
func (e Endpoint) WarmupEnd() time.Time { return time.UnixMilli(e.fields.WarmupEnd) }

// Limit returns the calls a second that the upstream takes from all nodes together, or 0 if it names no limit.
func (e Endpoint) Limit() float64 { return e.fields.Limit }

// Withdrawn reports whether this start of the upstream leaves for good; a leaving upstream whose node only stops does not.
func (e Endpoint) Withdrawn() bool { return e.fields.Withdrawn }

// WithState returns a copy with the state s.
func (e Endpoint) WithState(s State) Endpoint {
	e.fields.State = s
	return e
}

// WithJoined returns a copy with the joining time t.
func (e Endpoint) WithJoined(t time.Time) Endpoint {
	e.fields.Joined = t.UnixMilli()
	return e
}
