package guard

// Ending is how a call to the local upstream ended.
type Ending string

// The endings.
const (
	Unsent   Ending = "unsent"  // no byte of the call was sent to the upstream
	Complete Ending = "whole"   // the upstream sent a complete response
	Broken   Ending = "broken"  // the call was sent, and no complete response arrived
	Crashed  Ending = "crashed" // as Broken, and the upstream no longer listens on its address
)
