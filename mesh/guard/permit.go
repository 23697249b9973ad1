package guard

import "time"

// Witness returns the node that saw the call's first known crash, and the time since this node received the mark.
func (g *Guard) Witness(now time.Time, fingerprint string) (node string, knownFor time.Duration) {
	for _, r := range g.table.byFingerprint[fingerprint] {
		if !r.fields.Cleared {
			return r.fields.Endpoint, now.Sub(r.received)
		}
	}
	return "", 0
}

// GrantPermit gives the holder the only permission to run the marked call, until ReleasePermit or the given time, and
// reports whether it did so. It is called on the call's witness, so that at most one run of a suspect is unfinished in
// the mesh.
func (g *Guard) GrantPermit(now time.Time, fingerprint string, holder uint64, until time.Time) bool {
	switch n := g.table.count(now, fingerprint); {
	case n >= maxCrashes:
		return false
	case n == 0 && len(g.table.byFingerprint[fingerprint]) > 0:
		return true // all marks have been cleared
	}
	if p, held := g.permits[fingerprint]; held && p.holder != holder && now.Before(p.until) {
		return false
	}
	if len(g.permits) >= maxMarks {
		g.removeExpiredPermits(now)
	}
	if len(g.permits) >= maxMarks {
		return false
	}
	if g.permits == nil {
		g.permits = map[string]permit{}
	}
	g.permits[fingerprint] = permit{holder: holder, until: until}
	return true
}

// removeExpiredPermits removes the permissions that have expired.
func (g *Guard) removeExpiredPermits(now time.Time) {
	for fingerprint, p := range g.permits {
		if !now.Before(p.until) {
			delete(g.permits, fingerprint)
		}
	}
}

// ReleasePermit ends the permission of the holder, whose run has ended without a crash.
func (g *Guard) ReleasePermit(fingerprint string, holder uint64) {
	if g.permits[fingerprint].holder == holder {
		delete(g.permits, fingerprint)
	}
}
