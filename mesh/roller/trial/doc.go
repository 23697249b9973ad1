// Package trial runs one rollout on a simulated fleet with modelled callers, for the tests and the bench.
//
// A fake of the membership and relays raises rosters and distributes heads and endpoint sets, each node makes calls
// according to the share that it last published, and an oracle checks the store after every event.
package trial
