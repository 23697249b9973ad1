package revalidator

import "time"

// Fractions of --revoke.
const (
	// freshFraction is the age of a proof from which requests are refused. The rest is for the drift of the clocks.
	freshFraction = 0.9
	// revokeScale is the value of --apply, as a part of --revoke, whose reads keep requests with a key from being refused.
	revokeScale = 0.5
)

// minApply is the lowest bound that nodes read for. In calm, proofs are up to 1.1 s old, and for a much lower bound nodes would
// read whenever one was late.
const minApply = 2500 * time.Millisecond

// Fractions of --apply.
const (
	// readFraction is the age of the newest proof from which nodes read the store themselves, and readStepFraction the
	// further time for each node of the region that precedes. What is left of the bound after all steps is for a store
	// and a host that are slow.
	readFraction     = 0.55
	readStepFraction = 0.03
	// otherReadersFraction is the time in which all nodes of the region after singleReaders read, so that each one has read in
	// time even if no message arrives. Those that precede may have lost power without a word.
	otherReadersFraction = 0.04
	// regionStepFraction is the further time for each region that precedes, so that the read of one region reaches the
	// others before these read themselves.
	regionStepFraction = 0.015
	// behindFraction is the time for which a node waits for a version that a proof has named. It then reads the store, as it may be
	// the only one that was not told.
	behindFraction = 0.2
	// gainFraction is the time by which a proof must be newer than those passed on before to be passed on.
	gainFraction = 0.08
	// senderFraction is the time for which a node that has passed on a proof also sends it to nodes that appear.
	senderFraction = 0.8
)

// schedule holds the times that follow from the bounds on the age of the configuration.
type schedule struct {
	fresh        time.Duration // age of a proof from which requests with a key are refused
	keep         time.Duration // age of a proof from which it is not worth sending
	read         time.Duration
	readStep     time.Duration
	otherReaders time.Duration
	regionStep   time.Duration
	behind       time.Duration
	gain         time.Duration
	sender       time.Duration
}

// newSchedule returns the times for the bounds; one of them may be 0, for no such bound.
func newSchedule(revoke, apply time.Duration) schedule {
	if apply > 0 {
		apply = max(apply, minApply)
	}
	keep := max(revoke, apply)
	if scaled := time.Duration(revokeScale * float64(revoke)); apply == 0 || revoke > 0 && scaled < apply {
		apply = scaled
	}
	part := func(of time.Duration, fraction float64) time.Duration { return time.Duration(fraction * float64(of)) }
	return schedule{
		fresh: part(revoke, freshFraction), keep: keep, read: part(apply, readFraction), readStep: part(apply, readStepFraction),
		otherReaders: part(apply, otherReadersFraction), regionStep: part(apply, regionStepFraction), behind: part(apply, behindFraction),
		gain: part(apply, gainFraction), sender: part(apply, senderFraction),
	}
}
