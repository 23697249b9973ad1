package message

// Message is a message kind with a body of the type that is registered for it.
type Message struct {
	kind string
	body any
}

// New returns a message; body points to a value of the type registered for kind and must not change afterwards.
func New(kind string, body any) Message { return Message{kind: kind, body: body} }

// Kind returns the kind under which the body's type is registered.
func (m Message) Kind() string { return m.kind }

// Body returns the body, which receivers must not change.
func (m Message) Body() any { return m.body }
