package receiver

import (
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/tenant"
)

// origin is what a request shows of who sent it.
type origin struct {
	tenant  *tenant.Tenant // whose key the request has, or nil
	keyHash []byte         // of that key, or nil if the request needs none
	nested  bool           // an upstream makes the request while it runs another one
}

// authenticate returns the origin of a request, or a refusal. If the configuration has tenants, it removes the key from the
// request. Upstreams have no key, so a request without one on a public route counts as theirs then.
func (r *Receiver) authenticate(q *http.Request, p *plan.Plan, match *rule.Rule) (origin, *http.Response) {
	if len(p.Tenants()) == 0 {
		return origin{}, nil
	}
	key := r.dialect.TakeKey(q.Header)
	hash := tenant.HashKey(key)
	t := p.TenantByKeyHash(hash)
	if key == "" {
		// An empty key in the configuration is a mistake, and must not admit requests without one.
		t = nil
	}
	fresh := r.proofs.Fresh(p.Version())
	switch {
	case match.Public() && key == "":
		return origin{nested: true}, nil
	case match.Public() && !fresh:
		// The key may be revoked, and the upstream must not get the name of a tenant that does not hold it any more.
		return origin{}, nil
	case match.Public():
		return origin{tenant: t}, nil
	case !fresh:
		// An unknown key may be a new one.
		return origin{}, r.refuse(q, http.StatusServiceUnavailable, "the configuration may be out of date", staleWait())
	case t == nil:
		return origin{}, r.refuse(q, http.StatusUnauthorized, "no tenant has the request's key", 0)
	}
	return origin{tenant: t, keyHash: hash}, nil
}

// keyVersion returns the version of the configuration that has the key, or 0 if endpoints do not check keys.
func (r *Receiver) keyVersion(p *plan.Plan, keyHash []byte) uint64 {
	if len(keyHash) == 0 || !r.proofs.Enabled() {
		return 0
	}
	return p.Version()
}

// staleWait returns the Retry-After of a request that is refused because the configuration may be out of date. It is spread,
// as all requests with a key are refused then.
func staleWait() time.Duration { return minStaleWait + rand.N(maxStaleWait-minStaleWait) }

func tenantName(t *tenant.Tenant) string {
	if t == nil {
		return ""
	}
	return t.Name()
}

const (
	// nestedPriority is the priority of calls that upstreams make while they run a request: without their answers, work that
	// holds a slot already is lost.
	nestedPriority = 0
	// tenantPriorityFactor is the weight of a tenant's priority; that of a rule decides among tenants of the same priority.
	tenantPriorityFactor = 256
)

// priority returns the priority of a request; 0 is the most urgent.
func (o origin) priority(match *rule.Rule) int {
	own := min(max(0, match.Priority()), tenantPriorityFactor-1)
	switch {
	case o.nested:
		return nestedPriority
	case o.tenant == nil:
		return own
	}
	return nestedPriority + 1 + o.tenant.Priority()*tenantPriorityFactor + own
}
