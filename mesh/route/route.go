package route

import (
	"encoding/json"
	"time"
)

// Class is the priority of a route's calls when capacity is insufficient.
type Class string

// The classes, in descending priority.
const (
	High   Class = "high"
	Normal Class = "normal"
)

// Route is one immutable route.
type Route struct {
	w wire
}

// wire is the JSON format of a route.
type wire struct {
	Name       string            `json:"name"`
	Host       string            `json:"host,omitempty"`
	Path       string            `json:"path"`
	Methods    []string          `json:"methods,omitempty"`
	Headers    map[string]string `json:"headers,omitempty"`
	Tenant     string            `json:"tenant,omitempty"`
	Class      Class             `json:"class,omitempty"`
	Idempotent *bool             `json:"idempotent,omitempty"`
	Timeout    int64             `json:"timeout,omitempty"` // milliseconds
}

// UnmarshalJSON decodes a route.
func (r *Route) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.w) }

// MarshalJSON encodes the route.
func (r Route) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// Name returns the name, unique within the service.
func (r Route) Name() string { return r.w.Name }

// Host returns the host to match; empty matches all.
func (r Route) Host() string { return r.w.Host }

// PathPrefix returns the path prefix to match, which starts with a slash.
func (r Route) PathPrefix() string { return r.w.Path }

// Methods returns the methods to match; empty matches all.
func (r Route) Methods() []string { return r.w.Methods }

// Headers returns the header values that must all be equal.
func (r Route) Headers() map[string]string { return r.w.Headers }

// Tenant returns the tenant to which the route's calls are attributed.
func (r Route) Tenant() string { return r.w.Tenant }

// Class returns the class; Normal unless set.
func (r Route) Class() Class {
	if r.w.Class == "" {
		return Normal
	}
	return r.w.Class
}

// Timeout returns the route's limit for a call, or zero if the service's applies.
func (r Route) Timeout() time.Duration { return time.Duration(r.w.Timeout) * time.Millisecond }

// Idempotent reports whether a call with the method may run more than once: by the route's setting or, if unset, by
// RFC 9110.
func (r Route) Idempotent(method string) bool {
	if r.w.Idempotent != nil {
		return *r.w.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
