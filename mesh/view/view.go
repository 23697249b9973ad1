package view

import (
	"time"

	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/target"
)

// Pool holds the endpoints of one service, divided by version while the service moves to a new one.
type Pool struct {
	Stable    []*target.Target
	Candidate []*target.Target
	Permille  int // share of the calls that go to Candidate
}

// View is an immutable snapshot of the configuration and the endpoints by which calls are routed.
type View struct {
	plan      *plan.Plan // nil before the first configuration
	planSince time.Time
	pools     map[string]Pool // by service
}

// New returns a view of the plan, which took effect on this node at planSince, and the pools by service, which must
// not be changed afterwards.
func New(p *plan.Plan, planSince time.Time, pools map[string]Pool) *View {
	return &View{plan: p, planSince: planSince, pools: pools}
}

// Plan returns the configuration in effect, or nil if the node has none yet.
func (v *View) Plan() *plan.Plan { return v.plan }

// PlanSince returns when the plan took effect on this node.
func (v *View) PlanSince() time.Time { return v.planSince }

// Pool returns the pool of a service, which is empty for an unknown service.
func (v *View) Pool(service string) Pool { return v.pools[service] }

// PickVersion picks a version by the candidate's share and returns its endpoints; random(n) returns a number in [0, n).
//
// The stable version's share goes to the candidate only if the stable version has no endpoints and the candidate's
// share is not zero.
func (p Pool) PickVersion(random func(int) int) []*target.Target {
	useCandidate := p.Permille > 0 && len(p.Candidate) > 0 && (len(p.Stable) == 0 || random(share.FullPermille) < p.Permille)
	if useCandidate {
		return p.Candidate
	}
	return p.Stable
}
