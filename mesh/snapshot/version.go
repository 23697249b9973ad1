package snapshot

import "wisteriaspoke.example/mesh/endpoint"

// Version is the immutable set of usable endpoints of one service and version, by tier.
type Version struct {
	name    string
	all     []*Member
	ready   [Tiers][]*Member
	suspect [Tiers][]*Member
}

// Name returns the version.
func (v *Version) Name() string { return v.name }

// Members returns all endpoints that can take calls, ready or suspect.
func (v *Version) Members() []*Member { return v.all }

// Ready returns the ready endpoints of the tier.
func (v *Version) Ready(t Tier) []*Member { return v.ready[t] }

// Suspect returns the suspect endpoints of the tier.
func (v *Version) Suspect(t Tier) []*Member { return v.suspect[t] }

// add keeps an endpoint that can take calls; starting and leaving ones cannot.
func (v *Version) add(m *Member) {
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
