package suspicion

import "wisteriaspoke.example/mesh/crashcount"

// Suspicion is the crash count of one request, as nodes send it to each other.
type Suspicion struct {
	_           struct{}         `cbor:",toarray"`
	Fingerprint string           // of the request, see package quarantiner
	Count       crashcount.Count // the highest that the sender knows
	Age         int64            // milliseconds since the count changed, as the clocks of nodes differ
}
