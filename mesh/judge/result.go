package judge

import "wisteriaspoke.example/mesh/rollout"

// Finding is the conclusion on the new version that the evidence supports.
type Finding string

// The findings.
const (
	Undecided Finding = "undecided"
	Good      Finding = "good"    // good enough for a larger share
	Suspect   Finding = "suspect" // worse than the old version was before the full share; current calls must confirm it
	Bad       Finding = "bad"
)

// Result is an immutable finding with its explanation and evidence.
type Result struct {
	finding     Finding
	route       string
	message     string
	callsNeeded uint64
	calls       uint64
	evidence    []rollout.Evidence
}

// Finding returns the conclusion from the evidence.
func (r Result) Finding() Finding { return r.finding }

// Route returns the route on which the version is bad, or the empty string for all routes together.
func (r Result) Route() string { return r.route }

// Message returns one sentence for operators that explains the finding.
func (r Result) Message() string { return r.message }

// CallsNeeded returns the estimated number of further calls of the new version until it is found good.
func (r Result) CallsNeeded() uint64 { return r.callsNeeded }

// Calls returns the number of the new version's calls since the step began, set when it is undecided or good.
func (r Result) Calls() uint64 { return r.calls }

// Evidence returns the evidence on each route, which must not be modified.
func (r Result) Evidence() []rollout.Evidence { return r.evidence }
