package guard

import (
	"time"

	"wisteriaspoke.example/mesh/mark"
)

const (
	// MarkLifetime is the time after the last crash of a call until its marks expire.
	MarkLifetime = 10 * time.Minute
	// MaxSpreadTime is the longest time that marks need to reach all nodes that can be reached.
	MaxSpreadTime = 3 * time.Second
	// maxCrashes is the number of crashes after which a call is refused.
	maxCrashes = 2
	// maxMarks bounds the table to about 2 MB, as a mark takes up to 500 bytes with its indexes.
	maxMarks = 4096
)

// Guard decides which calls may run on one node's upstream. It is not safe for concurrent use.
type Guard struct {
	Node        string // set before the first use
	Incarnation uint64 // set before the first use

	crashes          uint64   // number of crashes of this node's upstream
	suspect          *suspect // the marked call that runs on this node, or nil
	lastSuspectCrash uint64   // number of the last crash in which a suspect was in flight
	table            table
	permits          map[string]permit // by fingerprint
}

// suspect is a running call with one mark.
type suspect struct {
	id    uint64
	sent  bool
	epoch uint64
}

// permit is a permission to run a marked call.
type permit struct {
	holder uint64
	until  time.Time
}

// Epoch returns the number of crashes of this node's upstream. The epoch in which a call is sent identifies the crash
// in which it was in flight.
func (g *Guard) Epoch() uint64 { return g.crashes }

// Decide returns the ruling for the call id. RunAlone keeps other marked calls from running here until RecordEnd.
func (g *Guard) Decide(now time.Time, id uint64, fingerprint string) Ruling {
	switch n := g.table.count(now, fingerprint); {
	case n >= maxCrashes:
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

// RecordSend records that the call with the ruling RunAlone is sent in the current epoch.
func (g *Guard) RecordSend(id uint64) {
	if g.suspect != nil && g.suspect.id == id {
		g.suspect.sent = true
		g.suspect.epoch = g.crashes
	}
}

// RecordEnd records the end of a call that was sent in the epoch, and returns the changed marks, to be sent to other
// nodes.
func (g *Guard) RecordEnd(now time.Time, id uint64, fingerprint string, epoch uint64, e Ending) []mark.Mark {
	alone := g.suspect != nil && g.suspect.id == id
	if alone {
		defer func() { g.suspect = nil }()
	}
	switch e {
	case Unsent:
		return nil
	case Complete:
		if g.table.count(now, fingerprint) != 1 {
			return nil
		}
		return g.table.clear(now, fingerprint)
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
		g.lastSuspectCrash = crash
	} else if g.besideSuspect(epoch) && g.table.count(now, fingerprint) > 0 {
		// The call was sent before it got its mark, and the suspect is the more likely cause of the crash.
		return nil
	}
	m := mark.New(mark.Fields{
		Endpoint: g.Node, Incarnation: g.Incarnation, Counter: crash, Fingerprint: fingerprint, TimeLeft: MarkLifetime,
	})
	return g.Merge(now, []mark.Mark{m})
}

// besideSuspect reports whether a suspect was in flight in the crash that ended the epoch.
func (g *Guard) besideSuspect(epoch uint64) bool {
	return g.lastSuspectCrash == epoch+1 || g.suspect != nil && g.suspect.sent && g.suspect.epoch == epoch
}

// Merge adds marks of other nodes and returns those that changed the table, to be forwarded.
func (g *Guard) Merge(now time.Time, marks []mark.Mark) []mark.Mark {
	var changed []mark.Mark
	for _, m := range marks {
		if g.table.merge(now, m) {
			changed = append(changed, m)
		}
	}
	return changed
}

// MarksSince returns at most limit marks that changed after the sequence number, oldest change first, and the sequence
// number for the next call.
func (g *Guard) MarksSince(now time.Time, sequence uint64, limit int) ([]mark.Mark, uint64) {
	return g.table.changedSince(now, sequence, limit)
}

// Sequence returns the number of changes of the table.
func (g *Guard) Sequence() uint64 { return g.table.sequence }

// Fingerprints returns the fingerprints of all calls that a crash counts against.
func (g *Guard) Fingerprints(now time.Time) map[string]struct{} {
	return g.table.markedFingerprints(now)
}
