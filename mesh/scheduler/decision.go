package scheduler

// Action is what happens to the share next.
type Action string

// The actions.
const (
	Hold     Action = "hold"
	Widen    Action = "widen"
	Narrow   Action = "narrow" // give the old version calls to compare with
	Finish   Action = "finish"
	TakeBack Action = "take back"
)

// Decision is an immutable plan for the next moment.
type Decision struct {
	action Action
	share  int
	reason string
	next   string
	late   bool
}

// Action returns what to do now.
func (d Decision) Action() Action { return d.action }

// Share returns the share to widen or narrow to, in thousandths.
func (d Decision) Share() int { return d.share }

// Reason returns one sentence that says why.
func (d Decision) Reason() string { return d.reason }

// NextStep returns what comes next and what it waits for.
func (d Decision) NextStep() string { return d.next }

// DeadlineAtRisk reports whether the deadline cannot be met safely at the present rate of calls.
func (d Decision) DeadlineAtRisk() bool { return d.late }
