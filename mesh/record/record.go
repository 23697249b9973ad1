package record

// Kind says what a record describes.
type Kind string

// The kinds of records.
const (
	Configuration Kind = "configuration" // the operators' configuration; one record
	Orders        Kind = "orders"        // one record for each service that moves to a version
	Hosts         Kind = "hosts"         // one record for each node, with its address
)

// Record is one object of the store; its slices are not changed.
type Record struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`           // of the last change, in the store's total order
	Created  uint64 `cbor:"4,keyasint"`           // revision of the creation
	Spec     []byte `cbor:"5,keyasint,omitempty"` // in the store's encoding
	Status   []byte `cbor:"6,keyasint,omitempty"` // in the store's encoding
	Deleted  bool   `cbor:"7,keyasint,omitempty"`
}
