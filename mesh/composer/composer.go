package composer

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

// Split defines which versions of a service receive calls.
type Split struct {
	OnlyVersion      string   // if set, no other version receives calls
	ExcludedVersions []string // versions that receive no calls
	Candidate        string   // target version of a running move, or the empty string
	Permille         int      // the candidate's share of calls
}

// Input holds the data that a view is built from.
type Input struct {
	Plan      *plan.Plan
	PlanSince time.Time // when the plan took effect on this node
	Targets   []*target.Target
	Split     func(service string) Split
}

// Compose returns a view of the input with the endpoints that are ready or suspect.
func Compose(in Input) *view.View {
	byService := map[string][]*target.Target{}
	for _, t := range in.Targets {
		if s := t.Endpoint().State(); s == endpoint.Ready || s == endpoint.Suspect {
			byService[t.Endpoint().Service()] = append(byService[t.Endpoint().Service()], t)
		}
	}
	pools := make(map[string]view.Pool, len(byService))
	for service, ts := range byService {
		pools[service] = splitPool(ts, in.Split(service))
	}
	return view.New(in.Plan, in.PlanSince, pools)
}

func splitPool(ts []*target.Target, s Split) view.Pool {
	ts = slices.DeleteFunc(ts, func(t *target.Target) bool {
		return slices.Contains(s.ExcludedVersions, t.Endpoint().Version())
	})
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
		// Endpoints of a new version may be announced before the order to move to that version arrives.
		only = mostCommonVersion(ts)
	}
	return view.Pool{Stable: slices.DeleteFunc(ts, func(t *target.Target) bool { return t.Endpoint().Version() != only })}
}

// mostCommonVersion returns the version with the most endpoints, of several the first in alphabetical order.
func mostCommonVersion(ts []*target.Target) string {
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
