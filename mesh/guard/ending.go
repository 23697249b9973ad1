package guard

// Ending says how a call ended that was about to be sent to the local upstream.
type Ending string

// The endings.
const (
	Unsent   Ending = "unsent"  // the upstream got no byte of it
	Complete Ending = "whole"   // a whole response came
	Broken   Ending = "broken"  // it was sent, and no whole response came
	Crashed  Ending = "crashed" // like broken, and nothing listens at the upstream's address any more
)
