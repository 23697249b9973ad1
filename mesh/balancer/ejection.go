package balancer

import (
	"time"

	"wisteriaspoke.example/mesh/snapshot"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an endpoint. A service that fails 1 call in 5 at
	// random reaches it once in 3,125 calls.
	failuresToEject = 5
	// firstEjection is the duration of the first ejection; it doubles with each consecutive one, up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = 30 * time.Second
	// maxEjectedDivisor limits the ejected endpoints to 1/maxEjectedDivisor of a version. If more fail, the cause is
	// likely the version or the network, and the rest would not sustain the load.
	maxEjectedDivisor = 3
)

// RecordFailure counts a failed attempt, ejects the endpoint after several consecutive ones, and reports whether
// it did.
//
// The other endpoints are examined only after consecutive failures, so that the usual cost does not grow with their
// number.
func RecordFailure(m *snapshot.Member, now time.Time) bool {
	c := m.Counters()
	if c.RecordFailure() < failuresToEject || c.Ejected(now) {
		return false
	}
	duration := maxEjection
	if n := c.ConsecutiveEjections(); n < 3 {
		duration = min(maxEjection, firstEjection<<n)
	}
	c.Eject(now.Add(duration))
	// The count follows the ejection, so that of two simultaneous ejections at the limit at least one is undone.
	if countEjected(m.Version(), now) > len(m.Version().Members())/maxEjectedDivisor {
		c.Readmit()
		return false
	}
	return true
}

func countEjected(v *snapshot.VersionEndpoints, now time.Time) int {
	n := 0
	for _, m := range v.Members() {
		if m.Counters().Ejected(now) {
			n++
		}
	}
	return n
}
