package rule

import "time"

// WeightedService is one of a rule's services; it gets requests in proportion to Weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Fields are the values of a Rule.
type Fields struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	Bulk       bool   // requests or answers have large bodies
	Public     bool   // requests need no key of a tenant
	Timeout    time.Duration
	Objective  time.Duration     // latency objective
	Attempts   int               // maximum number of endpoints that one request is sent to
	Priority   int               // 0 is the most urgent
	Services   []WeightedService // at least one
}

// Rule is an immutable route.
type Rule struct {
	f           Fields
	totalWeight int
}

// New returns a rule with the given fields, whose slices must not be changed afterwards.
func New(f Fields) *Rule {
	r := &Rule{f: f}
	for _, s := range f.Services {
		r.totalWeight += s.Weight
	}
	return r
}

// Name returns the rule's name, unique within a plan.
func (r *Rule) Name() string { return r.f.Name }

// Host returns the HTTP host that requests must have.
func (r *Rule) Host() string { return r.f.Host }

// Prefix returns the path prefix that requests must have.
func (r *Rule) Prefix() string { return r.f.Prefix }

// Idempotent reports whether a request may run more than once.
func (r *Rule) Idempotent() bool { return r.f.Idempotent }

// Bulk reports whether requests or answers have large bodies.
func (r *Rule) Bulk() bool { return r.f.Bulk }

// Public reports whether requests need no key of a tenant.
func (r *Rule) Public() bool { return r.f.Public }

// Timeout returns the longest time until the caller gets an answer, or zero for no limit.
func (r *Rule) Timeout() time.Duration { return r.f.Timeout }

// Objective returns the latency objective.
func (r *Rule) Objective() time.Duration { return r.f.Objective }

// Attempts returns the maximum number of endpoints that one request is sent to, at least 1.
func (r *Rule) Attempts() int { return max(1, r.f.Attempts) }

// Priority returns the priority; 0 is the most urgent.
func (r *Rule) Priority() int { return r.f.Priority }

// Services returns the services, which must not be changed.
func (r *Rule) Services() []WeightedService { return r.f.Services }

// PickService returns the service for a request in proportion to the weights; random(n) returns a number in [0, n).
func (r *Rule) PickService(random func(int) int) string {
	if len(r.f.Services) == 0 {
		return ""
	}
	if r.totalWeight <= 0 || len(r.f.Services) == 1 {
		return r.f.Services[0].Service
	}
	n := random(r.totalWeight)
	for _, s := range r.f.Services {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.f.Services[len(r.f.Services)-1].Service
}
