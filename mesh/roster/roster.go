package roster

import "slices"

// Roster is an immutable view of the relays.
type Roster struct {
	f Fields
}

// Fields are the values of a Roster.
type Fields struct {
	Seat    int      // lease index held by this node, or -1
	Epoch   uint64   // epoch of the lease held by this node
	Owner   bool     // this node owns the endpoint sets of its data centre
	Gateway bool     // this node is the gateway of its region
	Relays  []string // addresses of the own data centre's relays by lease index, without gaps
	Region  []string // addresses of the own region's other relays
	Remote  []string // addresses of the gateways of other regions
}

// New returns a roster with the fields, whose slices are not changed afterwards.
func New(f Fields) Roster { return Roster{f: f} }

// Seat returns the lease index that this node holds, or -1.
func (r Roster) Seat() int { return r.f.Seat }

// Epoch returns the epoch of this node's lease.
func (r Roster) Epoch() uint64 { return r.f.Epoch }

// Owner reports whether this node owns the endpoint sets of its data centre.
func (r Roster) Owner() bool { return r.f.Owner }

// Gateway reports whether this node is the gateway of its region.
func (r Roster) Gateway() bool { return r.f.Gateway }

// Relays returns the addresses of the own data centre's relays in order of preference.
func (r Roster) Relays() []string { return r.f.Relays }

// Region returns the addresses of the own region's other relays.
func (r Roster) Region() []string { return r.f.Region }

// Remote returns the addresses of the other regions' gateways.
func (r Roster) Remote() []string { return r.f.Remote }

// Equal reports whether both rosters say the same.
func (r Roster) Equal(o Roster) bool {
	return r.f.Seat == o.f.Seat && r.f.Epoch == o.f.Epoch && r.f.Owner == o.f.Owner && r.f.Gateway == o.f.Gateway &&
		slices.Equal(r.f.Relays, o.f.Relays) && slices.Equal(r.f.Region, o.f.Region) && slices.Equal(r.f.Remote, o.f.Remote)
}
