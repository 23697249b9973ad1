package snapshot

import (
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

// Pool holds the split of one service's calls between versions, and these versions' endpoints.
type Pool struct {
	service           service.Service
	stable            *VersionEndpoints
	candidate         *VersionEndpoints // nil while there is no rollout
	candidatePermille int               // of calls, on this node
	verdict           *verdict.Verdict
}

// Location is the data centre and the region of a node.
type Location struct {
	DataCentre, Region string
}

func (l Location) tier(e endpoint.Endpoint) Tier {
	switch {
	case e.DataCentre() == l.DataCentre:
		return SameDataCentre
	case e.Region() == l.Region:
		return SameRegion
	}
	return RemoteRegion
}

// NewPool returns the pool of a service; countersOf returns the counters of an endpoint that all snapshots share.
//
// A verdict on the split's rollout and candidate sets the candidate's share to zero. Endpoints of versions that the
// split does not name get no calls.
func NewPool(
	s service.Service, split share.Share, verdicts []verdict.Verdict, endpoints []endpoint.Endpoint,
	location Location, countersOf func(endpoint.Endpoint) *Counters,
) *Pool {
	pool := &Pool{service: s, stable: &VersionEndpoints{version: split.Stable()}, candidatePermille: split.Permille()}
	if pool.stable.version == "" {
		pool.stable.version = s.Version()
	}
	if split.Candidate() != "" && split.Candidate() != pool.stable.version {
		pool.candidate = &VersionEndpoints{version: split.Candidate()}
	}
	for _, v := range verdicts {
		if v.Service() == s.Name() && v.Rollout() == split.Rollout() && v.Version() == split.Candidate() {
			pool.verdict = &v
			pool.candidatePermille = 0
		}
	}
	for _, e := range endpoints {
		// Counters are requested for endpoints of all versions, as a later split may name another version.
		c := countersOf(e)
		if v := pool.versionEndpoints(e.Version()); v != nil {
			v.add(&Member{endpoint: e, counters: c, tier: location.tier(e)})
		}
	}
	return pool
}

func (p *Pool) versionEndpoints(version string) *VersionEndpoints {
	if version == p.stable.version {
		return p.stable
	}
	if p.candidate != nil && version == p.candidate.version {
		return p.candidate
	}
	return nil
}

// Service returns the definition of the service.
func (p *Pool) Service() service.Service { return p.service }

// Stable returns the endpoints of the version that gets the calls that the candidate does not.
func (p *Pool) Stable() *VersionEndpoints { return p.stable }

// Candidate returns the endpoints of the new version of a rollout, or nil while there is no rollout.
func (p *Pool) Candidate() *VersionEndpoints { return p.candidate }

// CandidatePermille returns the candidate's share of calls on this node, in thousandths.
func (p *Pool) CandidatePermille() int { return p.candidatePermille }

// Verdict returns the verdict that set the candidate's share to zero, or nil.
func (p *Pool) Verdict() *verdict.Verdict { return p.verdict }
