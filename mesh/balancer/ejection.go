package balancer

import (
	"time"

	"wisteriaspoke.example/mesh/snapshot"
)

const (
	// tolerated is the number of failures in a row that ejects an endpoint. A service that fails 1 call in 5 at
	// random reaches it once in 3,125 calls.
	tolerated = 5
	// ejection is the time of the first ejection; it doubles with each further one up to ejectionLimit.
	ejection      = 5 * time.Second
	ejectionLimit = 30 * time.Second
	// ejectable is the divisor for the endpoints of a version that may be ejected together. If more fail, the
	// cause is likely the version or the network, and the rest would not carry the load.
	ejectable = 3
)

// RecordFailure counts a failed attempt and ejects the endpoint after several in a row; it reports whether it did.
//
// Only a row of failures makes it look at the other endpoints, so that its usual cost does not grow with them.
func RecordFailure(m *snapshot.Member, now time.Time) bool {
	c := m.Counters()
	if c.RecordFailure() < tolerated || c.Ejected(now) {
		return false
	}
	length := ejectionLimit
	if n := c.ConsecutiveEjections(); n < 3 {
		length = min(ejectionLimit, ejection<<n)
	}
	c.Eject(now.Add(length))
	// Counting after the ejection means that of two simultaneous ones at the bound at least one is undone.
	if ejected(m.Version(), now) > len(m.Version().Members())/ejectable {
		c.Readmit()
		return false
	}
	return true
}

func ejected(v *snapshot.VersionEndpoints, now time.Time) int {
	n := 0
	for _, m := range v.Members() {
		if m.Counters().Ejected(now) {
			n++
		}
	}
	return n
}
