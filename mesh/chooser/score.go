package chooser

import "time"

// Score holds the terms of an endpoint's score, which is their sum.
type Score struct {
	Service     time.Duration // expected service time
	Wait        time.Duration // expected wait for a slot
	Load        time.Duration // cost of an endpoint that is nearly full
	Tier        time.Duration // cost of the distance
	Failures    time.Duration // cost of the failure rate
	Backoff     time.Duration // cost of a recent refusal
	Ejected     time.Duration // cost of an ejected endpoint
	Utilisation float64       // estimated calls as a fraction of the slots; no term of the score
}

// Total returns the sum of the terms.
func (s Score) Total() time.Duration {
	return s.Service + s.Wait + s.Load + s.Tier + s.Failures + s.Backoff + s.Ejected
}
