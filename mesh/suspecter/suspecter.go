package suspecter

import "time"

// Limits of silence. Heartbeats come each second, so that suspicion needs two lost ones and a drop five.
const (
	SuspectAfter = 2 * time.Second
	DropAfter    = 5 * time.Second
)

// oneIn is the inverse of the share of a set that may be suspect or recently dropped at the same time.
const oneIn = 3

// Verdict is what silence says of an endpoint.
type Verdict int

// The verdicts, in ascending severity.
const (
	Live Verdict = iota
	Suspect
	Drop
)

// Evidence is what an observer knows of one endpoint.
type Evidence struct {
	address  string
	silence  time.Duration
	unlinked bool
	unproven bool
	leaving  bool
}

// NewEvidence returns evidence; silence is the time since any relay of the data centre heard the node.
func NewEvidence(address string, silence time.Duration) Evidence {
	return Evidence{address: address, silence: silence}
}

// WithUnlinked returns a copy that says whether the last connection to the node is closed.
func (e Evidence) WithUnlinked(unlinked bool) Evidence {
	e.unlinked = unlinked
	return e
}

// WithProbeFailed returns a copy that says whether a probe went unanswered.
func (e Evidence) WithProbeFailed(failed bool) Evidence {
	e.unproven = failed
	return e
}

// WithLeaving returns a copy that says whether the endpoint announced that it leaves.
func (e Evidence) WithLeaving(leaving bool) Evidence {
	e.leaving = leaving
	return e
}

// Address returns the endpoint's address.
func (e Evidence) Address() string { return e.address }

// Evaluate returns the verdict on one endpoint without regard to the others.
func Evaluate(e Evidence) Verdict {
	silent := e.silence >= SuspectAfter || e.unlinked
	switch {
	case e.leaving && silent:
		return Drop
	case e.leaving:
		return Live
	case e.silence >= DropAfter && e.unproven:
		return Drop
	case silent:
		return Suspect
	}
	return Live
}

// MaxUnavailable returns how many of n endpoints may be suspect or recently dropped together. A set of one or two may lose one,
// since it would otherwise keep a dead endpoint for ever.
func MaxUnavailable(n int) int { return max(1, n/oneIn) }

// EvaluateAll returns the verdicts that differ from Live, by address. If the silent endpoints and the recently dropped ones
// are more than the allowed share, the observer's own network is the likelier cause and none is suspect or dropped
// (last known good). Endpoints that announced that they leave do not count on either side.
func EvaluateAll(evidence []Evidence, recent int) map[string]Verdict {
	verdicts := map[string]Verdict{}
	staying, silent := 0, 0
	for _, e := range evidence {
		v := Evaluate(e)
		if !e.leaving {
			staying++
			if v != Live {
				silent++
			}
		}
		if v != Live {
			verdicts[e.address] = v
		}
	}
	if silent+recent <= MaxUnavailable(staying+recent) {
		return verdicts
	}
	for _, e := range evidence {
		if !e.leaving {
			delete(verdicts, e.address)
		}
	}
	return verdicts
}
