package scheduler

// Action is a change of the share, or the lack of one.
type Action string

// The actions.
const (
	Hold     Action = "hold"
	Widen    Action = "widen"
	Narrow   Action = "narrow" // returns calls to the old version, for a comparison
	Finish   Action = "finish"
	TakeBack Action = "take back"
)

// Decision is an immutable plan for the next change of the share.
type Decision struct {
	action         Action
	share          int
	reason         string
	nextStep       string
	deadlineAtRisk bool
}

// Action returns the action to carry out now.
func (d Decision) Action() Action { return d.action }

// Share returns the share to widen or narrow to, in thousandths.
func (d Decision) Share() int { return d.share }

// Reason returns one sentence that explains the action.
func (d Decision) Reason() string { return d.reason }

// NextStep returns the step that follows and the condition for it.
func (d Decision) NextStep() string { return d.nextStep }

// DeadlineAtRisk reports whether the deadline cannot be met safely at the present rate of calls.
func (d Decision) DeadlineAtRisk() bool { return d.deadlineAtRisk }
