package guard

import "time"

// Witness returns the node that saw the call's first known crash, and for how long this node has known of it.
func (g *Guard) Witness(now time.Time, print string) (node string, known time.Duration) {
	for _, r := range g.table.prints[print] {
		if !r.fields.Cleared {
			return r.fields.Endpoint, now.Sub(r.heard)
		}
	}
	return "", 0
}

// GrantPermit gives the holder the only permission to run the marked call, until its return or the given time, and reports
// whether it did so. It is asked at the call's witness, so that at most one suspect run is unresolved in the mesh.
func (g *Guard) GrantPermit(now time.Time, print string, holder uint64, until time.Time) bool {
	switch n := g.table.count(now, print); {
	case n >= limit:
		return false
	case n == 0 && len(g.table.prints[print]) > 0:
		return true // cleared meanwhile
	}
	if t, held := g.tickets[print]; held && t.holder != holder && now.Before(t.until) {
		return false
	}
	if len(g.tickets) >= maxMarks {
		g.prune(now)
	}
	if len(g.tickets) >= maxMarks {
		return false
	}
	if g.tickets == nil {
		g.tickets = map[string]ticket{}
	}
	g.tickets[print] = ticket{holder: holder, until: until}
	return true
}

// prune removes permissions that have ended.
func (g *Guard) prune(now time.Time) {
	for p, t := range g.tickets {
		if !now.Before(t.until) {
			delete(g.tickets, p)
		}
	}
}

// ReleasePermit takes the permission back from the holder, whose run has ended without a crash.
func (g *Guard) ReleasePermit(print string, holder uint64) {
	if g.tickets[print].holder == holder {
		delete(g.tickets, print)
	}
}
