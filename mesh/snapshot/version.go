package snapshot

import "wisteriaspoke.example/mesh/endpoint"

// VersionEndpoints is the set of endpoints of one service and version that can get calls, by tier; it is immutable once
// NewPool has returned.
type VersionEndpoints struct {
	version string
	members []*Member
	ready   [TierCount][]*Member
	suspect [TierCount][]*Member
}

// Name returns the name of the version.
func (v *VersionEndpoints) Name() string { return v.version }

// Members returns the ready and the suspect endpoints.
func (v *VersionEndpoints) Members() []*Member { return v.members }

// Ready returns the ready endpoints of the tier.
func (v *VersionEndpoints) Ready(t Tier) []*Member { return v.ready[t] }

// Suspect returns the suspect endpoints of the tier.
func (v *VersionEndpoints) Suspect(t Tier) []*Member { return v.suspect[t] }

// add adds an endpoint that is ready or suspect; starting and leaving ones get no calls.
func (v *VersionEndpoints) add(m *Member) {
	m.version = v
	switch m.endpoint.State() {
	case endpoint.Ready:
		v.ready[m.tier] = append(v.ready[m.tier], m)
	case endpoint.Suspect:
		v.suspect[m.tier] = append(v.suspect[m.tier], m)
	default:
		return
	}
	v.members = append(v.members, m)
}
