package guard

// Ruling says what becomes of a call before it is sent to the local upstream.
type Ruling string

// The rulings.
const (
	Run      Ruling = "run"    // no crash counts against the call
	RunAlone Ruling = "alone"  // one crash does; it may run with the permission of the node that saw the crash
	Hold     Ruling = "hold"   // one crash does, and another marked call is running here; ask again later
	Poison   Ruling = "poison" // two crashes do; refuse it
)
