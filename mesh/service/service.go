package service

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/route"
)

// defaultTimeout applies to services and routes without a timeout.
const defaultTimeout = 10 * time.Second

// Service is an immutable definition; it contains its routes, so that a route cannot exist without its service.
type Service struct {
	w wire
}

// wire is the JSON format of a definition, one entry of a preset file.
type wire struct {
	Name    string        `json:"name"`
	Version string        `json:"version"`
	Depends []string      `json:"depends,omitempty"`
	Timeout int64         `json:"timeout,omitempty"` // milliseconds
	Routes  []route.Route `json:"routes,omitempty"`
}

// UnmarshalJSON decodes a definition.
func (s *Service) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &s.w) }

// MarshalJSON encodes the definition.
func (s Service) MarshalJSON() ([]byte, error) { return json.Marshal(s.w) }

// Name returns the name, unique within a preset.
func (s Service) Name() string { return s.w.Name }

// Version returns the version that receives all calls unless a share assigns some to another.
func (s Service) Version() string { return s.w.Version }

// Dependencies returns the services that this service's upstreams call; empty means any.
func (s Service) Dependencies() []string { return s.w.Depends }

// Routes returns the routes, which must not be changed.
func (s Service) Routes() []route.Route { return s.w.Routes }

// Timeout returns the limit for a call.
func (s Service) Timeout() time.Duration {
	if s.w.Timeout == 0 {
		return defaultTimeout
	}
	return time.Duration(s.w.Timeout) * time.Millisecond
}

// Digest returns the digest of the encoded definition, which is its name in the store.
func (s Service) Digest() (string, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("service %s: %w", s.Name(), err)
	}
	return DigestOf(data), nil
}

// DigestOf returns the digest of an encoded definition.
func DigestOf(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
