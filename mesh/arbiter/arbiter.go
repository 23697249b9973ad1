package arbiter

import (
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/ledger"
)

// Margin covers the time that a change of members takes to reach every node, and differences between clocks.
const Margin = 5 * time.Second

// Reply is what one owner said.
type Reply struct {
	f Fields
}

// Fields are the values of a Reply.
type Fields struct {
	Owner            bool      // the node is an owner in its own view
	OwnerSince       time.Time // since when it has been an owner
	RecentOwnerCount int       // how many owners the key can have had, see ranker.Ranker.RecentOwnerCount
	Result           ledger.ReserveResult
}

// NewReply returns a reply with the fields.
func NewReply(f Fields) Reply { return Reply{f: f} }

// Decision says what to do with a keyed call.
type Decision string

// The rulings.
const (
	Wait            Decision = "wait"   // more replies are needed
	Run             Decision = "run"    // proven not to have run, and reserved
	Return          Decision = "return" // ran; the first answer is held
	Ran             Decision = "ran"    // ran; the answer is no longer held
	InProgress      Decision = "busy"   // another attempt is running
	MayHaveRun      Decision = "maybe"  // may have run
	RequestMismatch Decision = "other"  // the key belongs to another request
	NotRun          Decision = "notrun" // owners cannot be asked or have no room; nothing ran
)

// Decide returns what to do with a key that was created at the given time, from the replies so far; owners is how many
// were asked and pending how many replies may still come. For Return the first answer is returned too.
//
// A call runs only after a majority of the owners has reserved it, each of which has owned the key for longer than the
// key is old. Any earlier run was reserved by a majority too, and the two have a member in common that has not lost
// its memory since.
func Decide(created time.Time, replies []Reply, owners, pending int) (Decision, answer.Answer) {
	for _, r := range replies {
		owners = max(owners, r.f.RecentOwnerCount)
	}
	majority := owners/2 + 1
	fresh, young := 0, 0
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
				young++
				continue
			}
			fresh++
		}
	}
	switch {
	case (ran || maybe || busy) && pending > 0:
		// Another owner may hold the whole answer.
		return Wait, answer.Answer{}
	case ran:
		return Ran, answer.Answer{}
	case maybe:
		return MayHaveRun, answer.Answer{}
	case busy:
		return InProgress, answer.Answer{}
	case fresh >= majority:
		return Run, answer.Answer{}
	case fresh+pending >= majority:
		return Wait, answer.Answer{}
	case fresh+young >= majority:
		// Enough owners answered, but the memory of those that held the key may be lost.
		return MayHaveRun, answer.Answer{}
	}
	return NotRun, answer.Answer{}
}
