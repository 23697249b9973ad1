package view

import (
	"time"

	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/target"
)

// Pool is the endpoints of one service, split by version while the service moves to a new one.
type Pool struct {
	Stable    []*target.Target
	Candidate []*target.Target
	Permille  int // the candidate's share of calls
}

// View is one immutable state of everything that routes calls.
type View struct {
	plan  *plan.Plan // nil until a configuration is known
	since time.Time
	pools map[string]Pool
}

// New returns a view; the map is not changed afterwards. since is when the plan came into force on this node.
func New(p *plan.Plan, since time.Time, pools map[string]Pool) *View {
	return &View{plan: p, since: since, pools: pools}
}

// Plan returns the configuration in force, or nil if none is known yet.
func (v *View) Plan() *plan.Plan { return v.plan }

// PlanSince returns when the plan came into force on this node.
func (v *View) PlanSince() time.Time { return v.since }

// Pool returns the endpoints of a service.
func (v *View) Pool(service string) Pool { return v.pools[service] }

// PickVersion returns the endpoints for one call by the versions' shares; random(n) returns a number in [0, n).
//
// The stable version's calls go to the candidate only when the stable version has no endpoint left, and the
// candidate may have calls at all.
func (p Pool) PickVersion(random func(int) int) []*target.Target {
	candidate := p.Permille > 0 && len(p.Candidate) > 0 && (len(p.Stable) == 0 || random(share.FullPermille) < p.Permille)
	if candidate {
		return p.Candidate
	}
	return p.Stable
}
