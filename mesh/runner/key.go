package runner

import (
	"time"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// reasonStale is the reason of refusals of calls with a key by a node whose configuration may be too old to judge the key.
// Other nodes may have a newer one.
const reasonStale = "stale"

// staleWait is the Retry-After of such refusals: a newer configuration, or a proof that there is none, is on its way.
const staleWait = 300 * time.Millisecond

// viewSource provides the configuration.
type viewSource interface {
	// View returns the current state.
	View() *view.View
}

// freshness judges how old the configuration may be.
type freshness interface {
	// Enabled reports whether keys are checked again before calls run.
	Enabled() bool
	// Fresh reports whether requests with a key may run by a configuration of the version.
	Fresh(version uint64) bool
}

// checkKey returns why a call with a key may not run by this node's configuration, or the empty string. A key that is
// missing in an older configuration than the one that the call was accepted by may be a new one, so that the call is sent to
// other endpoints; else the key was revoked meanwhile.
func (r *Runner) checkKey(c call.Call) string {
	if len(c.KeyHash()) == 0 || !r.proofs.Enabled() {
		return ""
	}
	p := r.views.View().Plan()
	switch {
	case p == nil || !r.proofs.Fresh(p.Version()):
		return reasonStale
	case p.TenantByKeyHash(c.KeyHash()) != nil:
		return ""
	case p.Version() < c.KeyVersion():
		return reasonStale
	}
	return tenant.Refused
}

// waitAfter returns the Retry-After of refusals for the reason, or zero for the default.
func waitAfter(reason string) time.Duration {
	if reason == reasonStale {
		return staleWait
	}
	return 0
}
