package snapshot

import "wisteriaspoke.example/mesh/router"

// Snapshot is one immutable state of everything that routes calls.
type Snapshot struct {
	version uint64
	preset  string
	table   *router.Table
	pools   map[string]*Pool
}

// New returns a snapshot; the map is not changed afterwards and has a pool for each service of the table.
func New(version uint64, preset string, table *router.Table, pools map[string]*Pool) *Snapshot {
	return &Snapshot{version: version, preset: preset, table: table, pools: pools}
}

// Version returns the configuration's place in the total order.
func (s *Snapshot) Version() uint64 { return s.version }

// Preset returns the name of the preset in force.
func (s *Snapshot) Preset() string { return s.preset }

// Routes returns the routes.
func (s *Snapshot) Routes() *router.Table { return s.table }

// Pool returns the versions and endpoints of a service, or nil if the snapshot lacks it.
func (s *Snapshot) Pool(service string) *Pool { return s.pools[service] }

// Pools returns all pools by service, which must not be changed.
func (s *Snapshot) Pools() map[string]*Pool { return s.pools }
