package object

// Object is one version of a stored object.
type Object struct {
	plural   string
	name     string
	revision string
	spec     []byte
}

// New returns an object; revision is empty before the object is created. spec is JSON and must not be changed
// afterwards.
func New(plural, name, revision string, spec []byte) Object {
	return Object{plural: plural, name: name, revision: revision, spec: spec}
}

// Plural returns the resource's plural name, such as "heads".
func (o Object) Plural() string { return o.plural }

// Name returns the object's name, unique within its plural.
func (o Object) Name() string { return o.name }

// Revision returns the store's resourceVersion, or the empty string if the object is not in the store.
func (o Object) Revision() string { return o.revision }

// Spec returns the content as JSON, which must not be changed.
func (o Object) Spec() []byte { return o.spec }

// WithSpec returns a copy with the given content and the same revision, for a conditional update.
func (o Object) WithSpec(spec []byte) Object {
	o.spec = spec
	return o
}
