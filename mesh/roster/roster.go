package roster

import "slices"

// Roster is an immutable view of the relays.
type Roster struct {
	f Fields
}

// Fields are the values of a Roster.
type Fields struct {
	LeaseIndex     int      // lease index held by this node, or -1
	Epoch          uint64   // epoch of the lease held by this node
	Owner          bool     // this node owns the endpoint sets of its data centre
	Gateway        bool     // this node is the gateway of its region
	Relays         []string // addresses of the own data centre's relays by lease index, without gaps
	RegionRelays   []string // addresses of the own region's other relays
	RemoteGateways []string // addresses of the gateways of other regions
}

// New returns a roster with the fields, whose slices must not be changed afterwards.
func New(f Fields) Roster { return Roster{f: f} }

// LeaseIndex returns the lease index that this node holds, or -1.
func (r Roster) LeaseIndex() int { return r.f.LeaseIndex }

// Epoch returns the epoch of this node's lease.
func (r Roster) Epoch() uint64 { return r.f.Epoch }

// IsOwner reports whether this node owns the endpoint sets of its data centre.
func (r Roster) IsOwner() bool { return r.f.Owner }

// IsGateway reports whether this node is the gateway of its region.
func (r Roster) IsGateway() bool { return r.f.Gateway }

// Relays returns the addresses of the own data centre's relays in order of preference.
func (r Roster) Relays() []string { return r.f.Relays }

// RegionRelays returns the addresses of the own region's other relays.
func (r Roster) RegionRelays() []string { return r.f.RegionRelays }

// RemoteGateways returns the addresses of the other regions' gateways.
func (r Roster) RemoteGateways() []string { return r.f.RemoteGateways }

// Equal reports whether both rosters have the same values.
func (r Roster) Equal(o Roster) bool {
	return r.f.LeaseIndex == o.f.LeaseIndex && r.f.Epoch == o.f.Epoch && r.f.Owner == o.f.Owner && r.f.Gateway == o.f.Gateway &&
		slices.Equal(r.f.Relays, o.f.Relays) && slices.Equal(r.f.RegionRelays, o.f.RegionRelays) && slices.Equal(r.f.RemoteGateways, o.f.RemoteGateways)
}
