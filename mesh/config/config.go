package config

import (
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
)

// Config is an immutable configuration version with the services that the node subscribes to.
type Config struct {
	version  uint64
	preset   string
	services map[string]service.Service
	shares   map[string]share.Share
}

// New returns a configuration; the maps must not be changed afterwards.
func New(version uint64, preset string, services map[string]service.Service, shares map[string]share.Share) Config {
	return Config{version: version, preset: preset, services: services, shares: shares}
}

// Version returns the number of the version; versions of the configuration are totally ordered by it.
func (c Config) Version() uint64 { return c.version }

// Preset returns the name of the preset in force.
func (c Config) Preset() string { return c.preset }

// Services returns the service definitions by name. The map must not be changed.
func (c Config) Services() map[string]service.Service { return c.services }

// Shares returns the traffic splits by service name. The map must not be changed.
func (c Config) Shares() map[string]share.Share { return c.shares }
