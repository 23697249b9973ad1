package admitter

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/route"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
)

// Explanation describes how a call would be routed and why, in the JSON format that operators receive.
type Explanation struct {
	ConfigVersion uint64         `json:"config"` // version of the configuration in force; zero if none
	Service       string         `json:"service,omitempty"`
	Route         string         `json:"route,omitempty"`
	Path          string         `json:"path,omitempty"` // the prefix that matched
	Tenant        string         `json:"tenant,omitempty"`
	Class         route.Class    `json:"class,omitempty"`
	Idempotent    bool           `json:"idempotent"`
	Timeout       int64          `json:"timeout,omitempty"` // milliseconds
	Shares        []VersionShare `json:"shares,omitempty"`
	Candidates    []Candidate    `json:"candidates,omitempty"` // in order of preference
	Reason        string         `json:"why"`
}

// VersionShare is the share of calls that one version receives.
type VersionShare struct {
	Version  string `json:"version"`
	Permille int    `json:"permille"`
	Reason   string `json:"why"`
}

// Candidate is one endpoint that could serve the call.
type Candidate struct {
	Address     string         `json:"address"`
	Version     string         `json:"version"`
	DataCentre  string         `json:"centre"`
	Tier        string         `json:"tier"`
	State       endpoint.State `json:"state"`
	Outstanding int            `json:"outstanding"` // calls in flight from this node
	Slots       int            `json:"slots"`
	Reason      string         `json:"why"`

	rank int
}

// Explain returns an Explanation of how a call would be routed now, without sending it.
func (a *Admitter) Explain(method, host, path string, header func(name string) string) any {
	return a.explain(method, host, path, header)
}

func (a *Admitter) explain(method, host, path string, header func(name string) string) Explanation {
	s := a.source.Snapshot()
	if s == nil {
		return Explanation{Reason: "no configuration is in force on this node"}
	}
	r, v, ok := s.Routes().Match(host, path, method, header)
	if !ok {
		return Explanation{ConfigVersion: s.Version(), Reason: fmt.Sprintf("no route of %d services matches %s %s%s", len(s.Pools()), method, host, path)}
	}
	x := Explanation{
		ConfigVersion: s.Version(), Service: v.Name(), Route: r.Name(), Path: r.PathPrefix(), Tenant: r.Tenant(), Class: r.Class(),
		Idempotent: r.Idempotent(method), Timeout: timeout(r, v, 0).Milliseconds(),
	}
	o := s.Pool(v.Name())
	now := time.Now()
	x.Shares = versionShares(o)
	x.Candidates = append(candidates(o.Stable(), now), candidates(o.Candidate(), now)...)
	slices.SortStableFunc(x.Candidates, func(a, b Candidate) int { return cmp.Compare(a.rank, b.rank) })
	x.Reason = fmt.Sprintf("route %s of service %s has the longest matching prefix %s", r.Name(), v.Name(), r.PathPrefix())
	if len(x.Candidates) == 0 {
		x.Reason += "; the service has no ready or suspect endpoint of these versions"
	}
	return x
}

func versionShares(o *snapshot.Pool) []VersionShare {
	c := o.Candidate()
	if c == nil {
		return []VersionShare{{Version: o.Stable().Name(), Permille: share.FullPermille, Reason: "no rollout is under way"}}
	}
	reason := "share of the rollout"
	if v := o.Verdict(); v != nil {
		reason = "taken out: " + v.Reason()
	}
	return []VersionShare{
		{Version: o.Stable().Name(), Permille: share.FullPermille - o.CandidatePermille(), Reason: "all calls that the candidate does not take"},
		{Version: c.Name(), Permille: o.CandidatePermille(), Reason: reason},
	}
}

// candidates returns a version's endpoints, ranked by the order in which the balancer relaxes its rules, then by tier.
func candidates(v *snapshot.VersionEndpoints, now time.Time) []Candidate {
	if v == nil {
		return nil
	}
	var cs []Candidate
	for _, m := range v.Members() {
		e := m.Endpoint()
		k := m.Counters()
		c := Candidate{
			Address: e.Address(), Version: e.Version(), DataCentre: e.DataCentre(), Tier: m.Tier().String(), State: e.State(),
			Outstanding: k.Outstanding(), Slots: m.Slots(), Reason: "ready",
		}
		relaxation := 0
		switch {
		case e.State() == endpoint.Suspect:
			relaxation, c.Reason = 4, "suspect: only when no ready endpoint is left"
		case k.Leaving(now):
			relaxation, c.Reason = 5, "leaving: gets no calls"
		case k.Ejected(now):
			relaxation, c.Reason = 3, "ejected after failures in a row"
		case k.InBackoff(now):
			relaxation, c.Reason = 2, "refused a call just now"
		case k.Outstanding() >= m.Slots():
			relaxation, c.Reason = 1, "all slots are in use"
		}
		c.rank = relaxation*int(snapshot.TierCount) + int(m.Tier())
		cs = append(cs, c)
	}
	return cs
}
