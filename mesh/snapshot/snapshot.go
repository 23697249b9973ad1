package snapshot

import "wisteriaspoke.example/mesh/router"

// Snapshot is an immutable copy of the routes and pools that calls are routed by.
type Snapshot struct {
	version uint64
	preset  string
	table   *router.Table
	pools   map[string]*Pool
}

// New returns a snapshot; pools must have a pool for each service of the table, and must not change afterwards.
func New(version uint64, preset string, table *router.Table, pools map[string]*Pool) *Snapshot {
	return &Snapshot{version: version, preset: preset, table: table, pools: pools}
}

// Version returns the number of the configuration version; later versions have higher numbers.
func (s *Snapshot) Version() uint64 { return s.version }

// Preset returns the name of the preset in force.
func (s *Snapshot) Preset() string { return s.preset }

// Routes returns the table that maps requests to services.
func (s *Snapshot) Routes() *router.Table { return s.table }

// Pool returns the pool of a service, or nil if the snapshot has none.
func (s *Snapshot) Pool(service string) *Pool { return s.pools[service] }

// Pools returns all pools by service name; callers must not change the map.
func (s *Snapshot) Pools() map[string]*Pool { return s.pools }
