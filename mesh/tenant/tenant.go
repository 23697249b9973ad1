package tenant

import "crypto/sha256"

// keyHashBytes is the length of a key's hash, which calls carry between nodes.
const keyHashBytes = 16

// Refused is the reason of the refusals of calls whose key the configuration of the endpoint's node no longer has.
const Refused = "key"

// Fields are the values of a Tenant.
type Fields struct {
	Name          string
	Priority      int      // 0 is the most urgent; it takes precedence over the priority of a rule
	RatePerSecond float64  // requests a second on all nodes together; 0 for no limit
	Burst         float64  // requests beyond the rate
	KeyHashes     [][]byte // results of HashKey
}

// Tenant is immutable.
type Tenant struct {
	f Fields
}

// New returns a tenant with the fields, whose slices must not be changed afterwards.
func New(f Fields) *Tenant { return &Tenant{f: f} }

// Name returns the tenant's name, unique within a plan.
func (t *Tenant) Name() string { return t.f.Name }

// Priority returns the priority; 0 is the most urgent.
func (t *Tenant) Priority() int { return t.f.Priority }

// RatePerSecond returns the requests a second that the tenant may make on all nodes together, or 0 for no limit.
func (t *Tenant) RatePerSecond() float64 { return t.f.RatePerSecond }

// Limited reports whether the tenant's requests are limited.
func (t *Tenant) Limited() bool { return t.f.RatePerSecond > 0 }

// Burst returns the requests that the tenant may make beyond its rate.
func (t *Tenant) Burst() float64 { return t.f.Burst }

// KeyHashes returns the hashes of the tenant's keys, which must not be changed.
func (t *Tenant) KeyHashes() [][]byte { return t.f.KeyHashes }

// HashKey returns the hash by which a key is looked up, so that the key itself is neither kept nor sent between nodes.
func HashKey(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:keyHashBytes]
}
