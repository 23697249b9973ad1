package registrar

import "wisteriaspoke.example/mesh/endpoint"

// WithoutOrderCheck returns a registrar without the check that an announcement is older than what is known.
func WithoutOrderCheck(r *Registrar) *Registrar {
	r.members.outdated = func(*member, endpoint.Endpoint, uint64) bool { return false }
	return r
}
