package snapshot

import "wisteriaspoke.example/mesh/endpoint"

// Tier classifies the distance of an endpoint from this node.
type Tier int

// The tiers, nearest first.
const (
	SameDataCentre Tier = iota // in this node's data centre
	SameRegion                 // in this node's region, in another data centre
	RemoteRegion               // in another region
	TierCount                  // number of tiers
)

// String returns the tier's name in what operators see.
func (t Tier) String() string {
	switch t {
	case SameDataCentre:
		return "centre"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Member is one endpoint with this node's counters for it.
type Member struct {
	endpoint endpoint.Endpoint
	counters *Counters
	tier     Tier
	version  *VersionEndpoints
}

// Endpoint returns the announced endpoint.
func (m *Member) Endpoint() endpoint.Endpoint { return m.endpoint }

// Address returns the address of the endpoint's node.
func (m *Member) Address() string { return m.endpoint.Address() }

// Slots returns the announced limit of concurrent calls, or 1 if that is lower.
func (m *Member) Slots() int { return max(1, m.endpoint.Slots()) }

// Counters returns the counters, which are shared between snapshots.
func (m *Member) Counters() *Counters { return m.counters }

// Tier returns the distance from this node.
func (m *Member) Tier() Tier { return m.tier }

// Version returns the endpoints of the same service and version, of which this is one.
func (m *Member) Version() *VersionEndpoints { return m.version }
