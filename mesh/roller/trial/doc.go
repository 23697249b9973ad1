// Package trial runs one rollout on a simulated fleet with modelled callers, for the tests and the bench.
//
// A stand-in for the relays raises rosters and distributes heads and endpoint sets; each node makes calls by the share
// that it last published; an oracle looks at the store after every event.
package trial
