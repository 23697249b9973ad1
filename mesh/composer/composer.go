package composer

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

// Split says which versions of a service may get calls.
type Split struct {
	OnlyVersion      string   // if set, no other version gets any call
	ExcludedVersions []string // versions that get none
	Candidate        string   // the version that a running move leads to, or the empty string
	Permille         int      // the candidate's share
}

// Input is what a view is built from.
type Input struct {
	Plan      *plan.Plan
	PlanSince time.Time // when the plan came into force
	Targets   []*target.Target
	Split     func(service string) Split
}

// Compose returns the view.
func Compose(in Input) *view.View {
	by := map[string][]*target.Target{}
	for _, t := range in.Targets {
		if s := t.Endpoint().State(); s == endpoint.Ready || s == endpoint.Suspect {
			by[t.Endpoint().Service()] = append(by[t.Endpoint().Service()], t)
		}
	}
	pools := make(map[string]view.Pool, len(by))
	for service, ts := range by {
		pools[service] = divide(ts, in.Split(service))
	}
	return view.New(in.Plan, in.PlanSince, pools)
}

func divide(ts []*target.Target, s Split) view.Pool {
	ts = slices.DeleteFunc(ts, func(t *target.Target) bool { return slices.Contains(s.ExcludedVersions, t.Endpoint().Version()) })
	if s.Candidate != "" {
		p := view.Pool{Permille: s.Permille}
		for _, t := range ts {
			if t.Endpoint().Version() == s.Candidate {
				p.Candidate = append(p.Candidate, t)
			} else {
				p.Stable = append(p.Stable, t)
			}
		}
		return p
	}
	only := s.OnlyVersion
	if only == "" {
		// Endpoints of a new version may announce themselves before the order to move to it is known.
		only = common(ts)
	}
	return view.Pool{Stable: slices.DeleteFunc(ts, func(t *target.Target) bool { return t.Endpoint().Version() != only })}
}

// common returns the version with the most endpoints; names break ties.
func common(ts []*target.Target) string {
	counts := map[string]int{}
	for _, t := range ts {
		counts[t.Endpoint().Version()]++
	}
	best := ""
	for v, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && v < best {
			best = v
		}
	}
	return best
}
