package plan

import (
	"strings"
	"time"

	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/tenant"
)

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for reading the whole header of a request
	IdleTimeout    time.Duration // between two requests on a connection
}

// Plan is a complete configuration; it is immutable.
type Plan struct {
	version     uint64
	limits      Limits
	services    map[string]bool
	rulesByHost map[string]map[string]*rule.Rule // then by prefix
	ruleCount   int
	tenants     []*tenant.Tenant
	tenantByKey map[string]*tenant.Tenant // by the hash of a key
}

// New returns a plan with the services and rules.
func New(version uint64, limits Limits, services []string, rules []*rule.Rule) *Plan {
	p := &Plan{
		version: version, limits: limits, services: map[string]bool{}, rulesByHost: map[string]map[string]*rule.Rule{},
		ruleCount: len(rules),
	}
	for _, s := range services {
		p.services[s] = true
	}
	for _, r := range rules {
		host := strings.ToLower(r.Host())
		if p.rulesByHost[host] == nil {
			p.rulesByHost[host] = map[string]*rule.Rule{}
		}
		p.rulesByHost[host][r.Prefix()] = r
	}
	return p
}

// WithTenants returns a copy of p whose requests need a key of one of the tenants, unless their rule is public.
func (p *Plan) WithTenants(ts []*tenant.Tenant) *Plan {
	c := *p
	c.tenants, c.tenantByKey = ts, map[string]*tenant.Tenant{}
	for _, t := range ts {
		for _, h := range t.KeyHashes() {
			c.tenantByKey[string(h)] = t
		}
	}
	return &c
}

// Tenants returns the tenants, which must not be changed; without any, requests need no key.
func (p *Plan) Tenants() []*tenant.Tenant { return p.tenants }

// TenantByKeyHash returns the tenant that holds the key with the hash, or nil.
func (p *Plan) TenantByKeyHash(hash []byte) *tenant.Tenant { return p.tenantByKey[string(hash)] }

// Version returns the version number that operators assign, which grows with each change.
func (p *Plan) Version() uint64 { return p.version }

// Limits returns the limits of callers' requests.
func (p *Plan) Limits() Limits { return p.limits }

// RuleCount returns the number of rules.
func (p *Plan) RuleCount() int { return p.ruleCount }

// HasService reports whether the service is configured.
func (p *Plan) HasService(service string) bool { return p.services[service] }

// Match returns the host's rule with the longest prefix of the path, or nil. Prefixes end with a slash. A port in host
// and a query in path are ignored.
func (p *Plan) Match(host, path string) *rule.Rule {
	prefixes := p.rulesByHost[strings.ToLower(withoutPort(host))]
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

// withoutPort returns host without its port; IPv6 literals keep their brackets.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
