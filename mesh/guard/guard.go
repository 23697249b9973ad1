package guard

import (
	"time"

	"wisteriaspoke.example/mesh/mark"
)

const (
	// MarkLifetime is the time after the last crash of a call until its marks end.
	MarkLifetime = 10 * time.Minute
	// MaxSpreadTime is the longest time that marks need to reach all nodes that can be reached.
	MaxSpreadTime = 3 * time.Second
	// limit is the number of crashes after which a call is refused.
	limit = 2
	// maxMarks bounds the table to about 2 MB, as a mark takes up to 500 bytes with its indexes.
	maxMarks = 4096
)

// Guard decides which calls may run on one node's upstream. It is not safe for concurrent use.
type Guard struct {
	Node        string // set before the first use
	Incarnation uint64 // set before the first use

	crashes uint64 // seen on this node
	// suspect is the marked call that runs here, or nil; there is at most one at a time.
	suspect *suspect
	// blamed is the number of the last crash that had a suspect in flight.
	blamed  uint64
	table   table
	tickets map[string]ticket // by fingerprint
}

// suspect is a running call with one mark.
type suspect struct {
	id    uint64
	sent  bool
	epoch uint64
}

// ticket is the permission to run a marked call.
type ticket struct {
	holder uint64
	until  time.Time
}

// Epoch returns the number of crashes seen on this node. The epoch in which a call is sent tells which crash it was in.
func (g *Guard) Epoch() uint64 { return g.crashes }

// Decide returns the ruling for the call id. RunAlone keeps other marked calls from running here until RecordEnd.
func (g *Guard) Decide(now time.Time, id uint64, print string) Ruling {
	switch n := g.table.count(now, print); {
	case n >= limit:
		return Poison
	case n == 0:
		return Run
	case g.suspect != nil && g.suspect.id != id:
		return Hold
	}
	if g.suspect == nil {
		g.suspect = &suspect{id: id}
	}
	return RunAlone
}

// RecordSend notes that the call with the ruling RunAlone is sent in the current epoch.
func (g *Guard) RecordSend(id uint64) {
	if g.suspect != nil && g.suspect.id == id {
		g.suspect.sent = true
		g.suspect.epoch = g.crashes
	}
}

// RecordEnd notes the end of a call that was sent in the epoch, and returns changed marks for other nodes.
func (g *Guard) RecordEnd(now time.Time, id uint64, print string, epoch uint64, e Ending) []mark.Mark {
	alone := g.suspect != nil && g.suspect.id == id
	if alone {
		defer func() { g.suspect = nil }()
	}
	switch e {
	case Unsent:
		return nil
	case Complete:
		if g.table.count(now, print) != 1 {
			return nil
		}
		return g.table.clear(now, print)
	}
	if epoch == g.crashes {
		if e == Broken {
			return nil
		}
		g.crashes++
	}
	// All calls that were sent between two crashes and broke were in flight in the same crash.
	crash := epoch + 1
	if alone {
		g.blamed = crash
	} else if g.besideSuspect(epoch) && g.table.count(now, print) > 0 {
		// The call was sent before it got its mark, and the suspect explains the crash better.
		return nil
	}
	m := mark.New(mark.Fields{Endpoint: g.Node, Incarnation: g.Incarnation, Counter: crash, Fingerprint: print, TimeLeft: MarkLifetime})
	return g.Merge(now, []mark.Mark{m})
}

// besideSuspect reports whether a suspect was in flight in the crash that ended the epoch.
func (g *Guard) besideSuspect(epoch uint64) bool {
	return g.blamed == epoch+1 || g.suspect != nil && g.suspect.sent && g.suspect.epoch == epoch
}

// Merge takes marks of other nodes and returns those that changed the table, for passing on.
func (g *Guard) Merge(now time.Time, marks []mark.Mark) []mark.Mark {
	var fresh []mark.Mark
	for _, m := range marks {
		if g.table.merge(now, m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// MarksSince returns marks that changed after the sequence, oldest change first and at most as many as asked for, and the
// sequence to go on from.
func (g *Guard) MarksSince(now time.Time, sequence uint64, most int) ([]mark.Mark, uint64) {
	return g.table.since(now, sequence, most)
}

// Sequence returns the number of changes of the table.
func (g *Guard) Sequence() uint64 { return g.table.sequence }

// Fingerprints returns the fingerprints of all calls that a crash counts against.
func (g *Guard) Fingerprints(now time.Time) map[string]struct{} { return g.table.live(now) }
