package guard

// Ruling is the decision whether a call may be sent to the local upstream.
type Ruling string

// The rulings.
const (
	Run      Ruling = "run"    // the call has no mark
	RunAlone Ruling = "alone"  // one mark; the call may run with the permission of the node that saw the crash
	Hold     Ruling = "hold"   // one mark, and another marked call is running on this node; ask again later
	Poison   Ruling = "poison" // two marks; refuse the call
)
