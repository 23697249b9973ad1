package encoder

import (
	"fmt"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
)

// maxElements bounds each array and map of a decoded message, so that a malformed frame cannot exhaust memory.
const maxElements = 1 << 17

// maxNestingDepth bounds the depth of a decoded message.
const maxNestingDepth = 16

type envelope struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

var (
	bodyFactories = map[string]func() any{}
	encMode       = must(cbor.CoreDetEncOptions().EncMode())
	decMode       = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestingDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must[T any](t T, err error) T {
	if err != nil {
		panic(err)
	}
	return t
}

// Register sets the body type of a message kind; newBody returns a pointer to a new zero value. Called from init only.
//
// It panics if the kind is already registered.
func Register(kind string, newBody func() any) {
	if _, exists := bodyFactories[kind]; exists {
		panic(fmt.Sprintf("encoder: kind %q is registered twice", kind))
	}
	bodyFactories[kind] = newBody
}

// Kinds returns all registered kinds in alphabetical order.
func Kinds() []string {
	kinds := make([]string, 0, len(bodyFactories))
	for k := range bodyFactories {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	return kinds
}

// Marshal encodes a part of a message as CBOR with sorted map keys, so that equal values have equal encodings.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Encode encodes the message as CBOR.
func Encode(m message.Message) ([]byte, error) {
	body, err := encMode.Marshal(m.Body())
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "cannot encode a message of kind "+m.Kind(), "report this as a bug")
	}
	return encMode.Marshal(envelope{Kind: m.Kind(), Body: body})
}

// Decode decodes one message; unknown kinds and malformed data are faults of kind Invalid.
func Decode(data []byte) (message.Message, error) {
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return message.Message{}, fault.Wrap(fault.Invalid, err, "malformed message", "check that both nodes run compatible releases")
	}
	newBody, ok := bodyFactories[e.Kind]
	if !ok {
		return message.Message{}, fault.New(fault.Invalid, fmt.Sprintf("unknown message kind %q", e.Kind), "upgrade this node")
	}
	body := newBody()
	if err := decMode.Unmarshal(e.Body, body); err != nil {
		return message.Message{}, fault.Wrap(fault.Invalid, err, "malformed body of "+e.Kind, "check that both nodes run compatible releases")
	}
	return message.New(e.Kind, body), nil
}
