package suspecter

import "time"

// Staleness limits. Heartbeats come each second, so suspicion needs two lost ones and a drop five.
const (
	SuspectAfter = 2 * time.Second
	DropAfter    = 5 * time.Second
)

// maxUnavailableDivisor limits the endpoints that are suspect or recently dropped to 1/maxUnavailableDivisor of a set.
const maxUnavailableDivisor = 3

// Verdict is the state of an endpoint that follows from its evidence.
type Verdict int

// The verdicts, in ascending severity.
const (
	Live Verdict = iota
	Suspect
	Drop
)

// Evidence is what an observer has recorded about one endpoint.
type Evidence struct {
	address        string
	sinceHeartbeat time.Duration
	unlinked       bool
	probeFailed    bool
	leaving        bool
}

// NewEvidence returns evidence; sinceHeartbeat is the time since any relay of the data centre received a
// heartbeat of the node.
func NewEvidence(address string, sinceHeartbeat time.Duration) Evidence {
	return Evidence{address: address, sinceHeartbeat: sinceHeartbeat}
}

// WithUnlinked returns a copy that records whether the last connection to the node is closed.
func (e Evidence) WithUnlinked(unlinked bool) Evidence {
	e.unlinked = unlinked
	return e
}

// WithProbeFailed returns a copy that records whether a probe went unanswered.
func (e Evidence) WithProbeFailed(failed bool) Evidence {
	e.probeFailed = failed
	return e
}

// WithLeaving returns a copy that records whether the endpoint announced that it leaves.
func (e Evidence) WithLeaving(leaving bool) Evidence {
	e.leaving = leaving
	return e
}

// Address returns the endpoint's address.
func (e Evidence) Address() string { return e.address }

// Evaluate returns the verdict on one endpoint without regard to the rest of the set.
func Evaluate(e Evidence) Verdict {
	unresponsive := e.sinceHeartbeat >= SuspectAfter || e.unlinked
	switch {
	case e.leaving && unresponsive:
		return Drop
	case e.leaving:
		return Live
	case e.sinceHeartbeat >= DropAfter && e.probeFailed:
		return Drop
	case unresponsive:
		return Suspect
	}
	return Live
}

// MaxUnavailable returns how many of n endpoints may be suspect or recently dropped together. A set of one
// or two may lose one, since it would otherwise keep a dead endpoint for ever.
func MaxUnavailable(n int) int { return max(1, n/maxUnavailableDivisor) }

// EvaluateAll returns the verdicts that differ from Live, by address. If the unresponsive endpoints and the recently
// dropped ones exceed MaxUnavailable, the observer's own network is the likelier cause, and none is suspect or dropped
// (the last known good set stays). Endpoints that announced that they leave are not counted.
func EvaluateAll(evidence []Evidence, recentDrops int) map[string]Verdict {
	verdicts := map[string]Verdict{}
	staying, unresponsive := 0, 0
	for _, e := range evidence {
		v := Evaluate(e)
		if !e.leaving {
			staying++
			if v != Live {
				unresponsive++
			}
		}
		if v != Live {
			verdicts[e.address] = v
		}
	}
	if unresponsive+recentDrops <= MaxUnavailable(staying+recentDrops) {
		return verdicts
	}
	for _, e := range evidence {
		if !e.leaving {
			delete(verdicts, e.address)
		}
	}
	return verdicts
}
