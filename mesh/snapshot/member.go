package snapshot

import "wisteriaspoke.example/mesh/endpoint"

// Tier is the distance of an endpoint from this node.
type Tier int

// The tiers, nearest first.
const (
	SameDataCentre Tier = iota // in the node's data centre
	SameRegion                 // in the node's region
	RemoteRegion               // elsewhere
	TierCount                  // the number of tiers
)

// String returns the tier's name for operators.
func (t Tier) String() string {
	switch t {
	case SameDataCentre:
		return "centre"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Member is one endpoint with the counters that this node keeps of it.
type Member struct {
	endpoint endpoint.Endpoint
	counters *Counters
	tier     Tier
	version  *VersionEndpoints
}

// Endpoint returns the announcement.
func (m *Member) Endpoint() endpoint.Endpoint { return m.endpoint }

// Address returns the address of the endpoint's node.
func (m *Member) Address() string { return m.endpoint.Address() }

// Slots returns the announced limit of concurrent calls, at least 1.
func (m *Member) Slots() int { return max(1, m.endpoint.Slots()) }

// Counters returns the counters, which are shared between snapshots.
func (m *Member) Counters() *Counters { return m.counters }

// Tier returns the distance from this node.
func (m *Member) Tier() Tier { return m.tier }

// Version returns the endpoints of the same service and version.
func (m *Member) Version() *VersionEndpoints { return m.version }
