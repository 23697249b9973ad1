package arbiter

import (
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/ledger"
)

// Margin covers the propagation time of a change of members to all nodes, and clock differences.
const Margin = 5 * time.Second

// Reply is the reply of one node that was asked as an owner.
type Reply struct {
	f Fields
}

// Fields are the values of a Reply.
type Fields struct {
	Owner            bool      // the node is an owner in its own view
	OwnerSince       time.Time // since when it has been an owner
	RecentOwnerCount int       // see ranker.Ranker.RecentOwnerCount
	Result           ledger.ReserveResult
}

// NewReply returns a reply with the fields.
func NewReply(f Fields) Reply { return Reply{f: f} }

// Decision is what to do with a call that has an idempotency key.
type Decision string

// The decisions.
const (
	Wait            Decision = "wait"   // more replies are needed
	Run             Decision = "run"    // proven not to have run, and reserved by a majority
	Return          Decision = "return" // ran; an owner holds the first answer
	Ran             Decision = "ran"    // ran; the answer is no longer held
	InProgress      Decision = "busy"   // another attempt is running
	MayHaveRun      Decision = "maybe"  // may have run
	RequestMismatch Decision = "other"  // the key belongs to another request
	NotRun          Decision = "notrun" // too few owners reserved the key, as they are unreachable or full; nothing ran
)

// Decide returns what to do with a key that was created at the given time, from the replies so far. owners is the
// number of nodes asked, and pending the number of replies that may still arrive. With Return it also returns the first
// answer.
//
// A call runs only after a majority of the owners has reserved it, each of which has owned the key for longer than the
// key is old. Any earlier run was reserved by a majority too, and the two majorities share an owner that has not
// lost its records since.
func Decide(created time.Time, replies []Reply, owners, pending int) (Decision, answer.Answer) {
	for _, r := range replies {
		owners = max(owners, r.f.RecentOwnerCount)
	}
	majority := owners/2 + 1
	reserved, recent := 0, 0
	busy, maybe, ran := false, false, false
	for _, r := range replies {
		if !r.f.Owner {
			continue
		}
		switch r.f.Result.State() {
		case ledger.Done:
			if a, held := r.f.Result.Answer(); held {
				return Return, a
			}
			ran = true
		case ledger.RequestMismatch:
			return RequestMismatch, answer.Answer{}
		case ledger.MayHaveRun:
			maybe = true
		case ledger.Running:
			busy = true
		case ledger.Reserved:
			if r.f.OwnerSince.Add(Margin).After(created) {
				recent++
				continue
			}
			reserved++
		}
	}
	switch {
	case (ran || maybe || busy) && pending > 0:
		// Another owner may hold the first answer.
		return Wait, answer.Answer{}
	case ran:
		return Ran, answer.Answer{}
	case maybe:
		return MayHaveRun, answer.Answer{}
	case busy:
		return InProgress, answer.Answer{}
	case reserved >= majority:
		return Run, answer.Answer{}
	case reserved+pending >= majority:
		return Wait, answer.Answer{}
	case reserved+recent >= majority:
		// Enough owners replied, but some became owners too recently to have a record of an earlier run.
		return MayHaveRun, answer.Answer{}
	}
	return NotRun, answer.Answer{}
}
