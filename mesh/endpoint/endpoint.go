package endpoint

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is what the endpoint's node says of its upstream.
type State string

// The states of an endpoint.
const (
	Starting State = "starting" // no calls yet
	Ready    State = "ready"
	Leaving  State = "leaving" // no new calls
	Suspect  State = "suspect" // silent; used only when no ready one is left
)

// Endpoint is one immutable announcement; the node at Address takes the calls for its upstream.
type Endpoint struct {
	w wire
}

type wire struct {
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
}

// Fields are the values of a new Endpoint.
type Fields struct {
	Address, Service, Version, DataCentre, Region string
	Slots                                         int
	State                                         State
	Incarnation                                   uint64
	Joined                                        time.Time
	Instance                                      string    // identifier of one start of the upstream
	WarmupEnd                                     time.Time // when the cold start ends
}

// New returns an endpoint with the fields.
func New(f Fields) Endpoint {
	return Endpoint{w: wire{
		Address: f.Address, Service: f.Service, Version: f.Version, DataCentre: f.DataCentre, Region: f.Region,
		Slots: f.Slots, State: f.State, Incarnation: f.Incarnation, Joined: f.Joined.UnixMilli(), Instance: f.Instance, WarmupEnd: millis(f.WarmupEnd),
	}}
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// MarshalJSON writes the endpoint's own format.
func (e Endpoint) MarshalJSON() ([]byte, error) { return json.Marshal(e.w) }

// UnmarshalJSON reads the endpoint's own format.
func (e *Endpoint) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &e.w) }

// MarshalCBOR writes the endpoint for messages between nodes.
func (e Endpoint) MarshalCBOR() ([]byte, error) { return cbor.Marshal(e.w) }

// UnmarshalCBOR reads the endpoint from a message between nodes.
func (e *Endpoint) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &e.w) }

// Address returns the address of the endpoint's node.
func (e Endpoint) Address() string { return e.w.Address }

// Service returns the service's name.
func (e Endpoint) Service() string { return e.w.Service }

// Version returns the upstream's version.
func (e Endpoint) Version() string { return e.w.Version }

// DataCentre returns the data centre's name.
func (e Endpoint) DataCentre() string { return e.w.DataCentre }

// Region returns the region's name.
func (e Endpoint) Region() string { return e.w.Region }

// Slots returns how many calls the upstream takes at once.
func (e Endpoint) Slots() int { return e.w.Slots }

// State returns the announced or suspected state.
func (e Endpoint) State() State { return e.w.State }

// Incarnation returns the start of the node's life; higher is later.
func (e Endpoint) Incarnation() uint64 { return e.w.Incarnation }

// Joined returns when the endpoint entered its set, to the millisecond.
func (e Endpoint) Joined() time.Time { return time.UnixMilli(e.w.Joined) }

// Instance returns the identifier of one start of the upstream, or the empty string.
func (e Endpoint) Instance() string { return e.w.Instance }

// WarmupEnd returns when the upstream's cold start ends, to the millisecond.
func (e Endpoint) WarmupEnd() time.Time { return time.UnixMilli(e.w.WarmupEnd) }

// WithState returns a copy in another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.w.State = s
	return e
}

// WithJoined returns a copy that joined at another time.
func (e Endpoint) WithJoined(t time.Time) Endpoint {
	e.w.Joined = t.UnixMilli()
	return e
}
