package record

// Kind is the type of object that a record holds.
type Kind string

// The kinds of records.
const (
	Configuration Kind = "configuration" // the operators' configuration, a single record
	Orders        Kind = "orders"        // one record for each service that is moved to another version
	Hosts         Kind = "hosts"         // one record for each node, with its address
)

// Record is one object of the store; its slices must not be modified.
type Record struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`           // position of the last change, see Position
	Created  uint64 `cbor:"4,keyasint"`           // revision at which the object was created
	Spec     []byte `cbor:"5,keyasint,omitempty"` // in the store's encoding
	Status   []byte `cbor:"6,keyasint,omitempty"` // in the store's encoding
	Deleted  bool   `cbor:"7,keyasint,omitempty"`
}
