package judge

import "wisteriaspoke.example/mesh/rollout"

// Finding is what the evidence says of the new version.
type Finding string

// The findings.
const (
	Undecided Finding = "undecided"
	Good      Finding = "good"    // good enough to widen
	Suspect   Finding = "suspect" // bad beside the old version's past; its present is not known at the whole share
	Bad       Finding = "bad"
)

// Result is an immutable judgement.
type Result struct {
	finding  Finding
	route    string
	sentence string
	needed   uint64
	calls    uint64
	evidence []rollout.Evidence
}

// Finding returns what the evidence says.
func (r Result) Finding() Finding { return r.finding }

// Route returns the route on which the version is bad, or the empty string for all routes together.
func (r Result) Route() string { return r.route }

// Message returns one sentence for an operator on call.
func (r Result) Message() string { return r.sentence }

// CallsNeeded returns how many more calls of the new version are needed while undecided.
func (r Result) CallsNeeded() uint64 { return r.needed }

// Calls returns the calls of the new version since the step began.
func (r Result) Calls() uint64 { return r.calls }

// Evidence returns the counts of each route, which must not be changed.
func (r Result) Evidence() []rollout.Evidence { return r.evidence }
