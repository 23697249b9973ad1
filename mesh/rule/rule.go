package rule

import "time"

// WeightedService is the part of a rule's requests that one service gets.
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
	Bulk       bool   // requests have large bodies
	Timeout    time.Duration
	Objective  time.Duration     // latency objective
	Attempts   int               // most endpoints that one request is sent to
	Priority   int               // 0 is the most urgent
	Services   []WeightedService // at least one
}

// Rule is an immutable route.
type Rule struct {
	f     Fields
	total int
}

// New returns a rule with the fields, whose slices are not changed afterwards.
func New(f Fields) *Rule {
	r := &Rule{f: f}
	for _, p := range f.Services {
		r.total += p.Weight
	}
	return r
}

// Name returns the rule's name, unique within a plan.
func (r *Rule) Name() string { return r.f.Name }

// Host returns the HTTP host that is matched.
func (r *Rule) Host() string { return r.f.Host }

// Prefix returns the path prefix that is matched.
func (r *Rule) Prefix() string { return r.f.Prefix }

// Idempotent reports whether a request may run more than once.
func (r *Rule) Idempotent() bool { return r.f.Idempotent }

// Bulk reports whether requests have large bodies.
func (r *Rule) Bulk() bool { return r.f.Bulk }

// Timeout returns the longest time that a caller is kept waiting, or zero for no limit.
func (r *Rule) Timeout() time.Duration { return r.f.Timeout }

// Objective returns the latency objective.
func (r *Rule) Objective() time.Duration { return r.f.Objective }

// Attempts returns the most endpoints that one request is sent to, at least 1.
func (r *Rule) Attempts() int { return max(1, r.f.Attempts) }

// Priority returns the urgency; 0 is the highest.
func (r *Rule) Priority() int { return r.f.Priority }

// Services returns the services, which must not be changed.
func (r *Rule) Services() []WeightedService { return r.f.Services }

// PickService returns the service for a request in proportion to the weights; random(n) returns a number in [0, n).
func (r *Rule) PickService(random func(int) int) string {
	if len(r.f.Services) == 0 {
		return ""
	}
	if r.total <= 0 || len(r.f.Services) == 1 {
		return r.f.Services[0].Service
	}
	n := random(r.total)
	for _, p := range r.f.Services {
		if n < p.Weight {
			return p.Service
		}
		n -= p.Weight
	}
	return r.f.Services[len(r.f.Services)-1].Service
}
