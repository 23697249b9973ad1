package plan

import (
	"strings"
	"time"

	"wisteriaspoke.example/mesh/rule"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for the whole header of a request
	IdleTimeout    time.Duration // between two requests on a connection
}

// Plan is an immutable configuration.
type Plan struct {
	version  uint64
	limits   Limits
	services map[string]bool
	rules    map[string]map[string]*rule.Rule // by host, then by prefix
	count    int
}

// New returns the plan of the services and rules.
func New(version uint64, limits Limits, services []string, rules []*rule.Rule) *Plan {
	p := &Plan{
		version: version, limits: limits, services: map[string]bool{}, rules: map[string]map[string]*rule.Rule{}, count: len(rules),
	}
	for _, s := range services {
		p.services[s] = true
	}
	for _, r := range rules {
		host := strings.ToLower(r.Host())
		if p.rules[host] == nil {
			p.rules[host] = map[string]*rule.Rule{}
		}
		p.rules[host][r.Prefix()] = r
	}
	return p
}

// Version returns the operators' version number, which grows with each change.
func (p *Plan) Version() uint64 { return p.version }

// Limits returns the bounds on what callers send.
func (p *Plan) Limits() Limits { return p.limits }

// RuleCount returns the number of rules.
func (p *Plan) RuleCount() int { return p.count }

// HasService reports whether the service is part of the configuration.
func (p *Plan) HasService(service string) bool { return p.services[service] }

// Match returns the rule of the host with the longest prefix of the path, or nil.
func (p *Plan) Match(host, path string) *rule.Rule {
	prefixes := p.rules[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil
	}
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
		path = path[:i]
	}
}

// withoutPort returns the host of "host:port"; IPv6 literals keep their brackets.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
