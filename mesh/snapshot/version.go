package snapshot

import "wisteriaspoke.example/mesh/endpoint"

// VersionEndpoints is the immutable set of usable endpoints of one service and version, by tier.
type VersionEndpoints struct {
	name    string
	all     []*Member
	ready   [TierCount][]*Member
	suspect [TierCount][]*Member
}

// Name returns the version.
func (v *VersionEndpoints) Name() string { return v.name }

// Members returns all endpoints that can take calls, ready or suspect.
func (v *VersionEndpoints) Members() []*Member { return v.all }

// Ready returns the ready endpoints of the tier.
func (v *VersionEndpoints) Ready(t Tier) []*Member { return v.ready[t] }

// Suspect returns the suspect endpoints of the tier.
func (v *VersionEndpoints) Suspect(t Tier) []*Member { return v.suspect[t] }

// add keeps an endpoint that can take calls; starting and leaving ones cannot.
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
	v.all = append(v.all, m)
}
