package snapshot

import (
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

// Pool is what a call needs of one service: its split between versions and their endpoints.
type Pool struct {
	service   service.Service
	stable    *VersionEndpoints
	candidate *VersionEndpoints // nil while there is no rollout
	permille  int               // the candidate's share on this node
	verdict   *verdict.Verdict
}

// Location is where a node stands.
type Location struct {
	DataCentre, Region string
}

func (p Location) tier(e endpoint.Endpoint) Tier {
	switch {
	case e.DataCentre() == p.DataCentre:
		return SameDataCentre
	case e.Region() == p.Region:
		return SameRegion
	}
	return RemoteRegion
}

// NewPool returns the pool of a service; keep returns the lasting counters of an endpoint.
//
// A verdict on the rollout that the split names takes the candidate's share away. Endpoints of versions that the
// split does not name get no calls.
func NewPool(s service.Service, split share.Share, verdicts []verdict.Verdict, endpoints []endpoint.Endpoint, p Location, keep func(endpoint.Endpoint) *Counters) *Pool {
	o := &Pool{service: s, stable: &VersionEndpoints{name: split.Stable()}, permille: split.Permille()}
	if o.stable.name == "" {
		o.stable.name = s.Version()
	}
	if split.Candidate() != "" && split.Candidate() != o.stable.name {
		o.candidate = &VersionEndpoints{name: split.Candidate()}
	}
	for _, v := range verdicts {
		if v.Service() == s.Name() && v.Rollout() == split.Rollout() && v.Version() == split.Candidate() {
			o.verdict = &v
			o.permille = 0
		}
	}
	for _, e := range endpoints {
		// Counters are kept for all versions, as a later split may name another one.
		c := keep(e)
		if v := o.version(e.Version()); v != nil {
			v.add(&Member{endpoint: e, counters: c, tier: p.tier(e)})
		}
	}
	return o
}

func (o *Pool) version(name string) *VersionEndpoints {
	if name == o.stable.name {
		return o.stable
	}
	if o.candidate != nil && name == o.candidate.name {
		return o.candidate
	}
	return nil
}

// Service returns the definition.
func (o *Pool) Service() service.Service { return o.service }

// Stable returns the version that takes the calls that the candidate does not.
func (o *Pool) Stable() *VersionEndpoints { return o.stable }

// Candidate returns the new version of a rollout, or nil.
func (o *Pool) Candidate() *VersionEndpoints { return o.candidate }

// CandidatePermille returns the candidate's share on this node, in thousandths.
func (o *Pool) CandidatePermille() int { return o.permille }

// Verdict returns the verdict that took the candidate's share away, or nil.
func (o *Pool) Verdict() *verdict.Verdict { return o.verdict }
