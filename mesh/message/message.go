package message

// Message is a kind and a body of the type that is registered for the kind.
type Message struct {
	kind string
	body any
}

// New returns a message; body is a pointer to the type that the encoder has for kind and is not changed afterwards.
func New(kind string, body any) Message { return Message{kind: kind, body: body} }

// Kind returns the registered name of the body's type.
func (m Message) Kind() string { return m.kind }

// Body returns the body, which receivers must not change.
func (m Message) Body() any { return m.body }
