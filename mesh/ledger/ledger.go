package ledger

import (
	"container/list"
	"time"

	"wisteriaspoke.example/mesh/answer"
)

// State is what the ledger knows of a key.
type State string

// The states of a key.
const (
	Reserved        State = "fresh"   // not known before; reserved now
	Running         State = "running" // reserved by another attempt that may still run
	Done            State = "done"    // ran to a whole answer
	MayHaveRun      State = "maybe"   // may have run; no whole answer is known
	RequestMismatch State = "other"   // used with another request
	Full            State = "full"    // no room for the key; nothing was reserved
)

// recordSize is the estimated cost of one record without its answer, in bytes.
const recordSize = 256

// Ledger holds records for a bounded time and in bounded memory. One goroutine at a time may use it.
type Ledger struct {
	Retention  time.Duration // how long a record stands after its last change
	MaxBytes   int           // limit of all records with their answers
	MaxRecords int           // limit of the number of records

	records map[string]*record
	order   *list.List // records by last change, oldest first
	bytes   int
}

type record struct {
	key     string
	print   uint64
	attempt uint64
	state   State
	until   time.Time // end of a running attempt
	changed time.Time
	answer  answer.Answer
	kept    bool // answer is held
	place   *list.Element
}

// ReserveResult is what a ledger says of a key.
type ReserveResult struct {
	state  State
	answer answer.Answer
	kept   bool
}

// NewReserveResult returns what another node's ledger said; kept says that a is the first answer.
func NewReserveResult(s State, a answer.Answer, kept bool) ReserveResult {
	return ReserveResult{state: s, answer: a, kept: kept}
}

// State returns what is known of the key.
func (h ReserveResult) State() State { return h.state }

// Answer returns the first answer and whether it is still held.
func (h ReserveResult) Answer() (answer.Answer, bool) { return h.answer, h.kept }

// Reserve records that attempt is about to run the request with the fingerprint under the key until the deadline, and
// returns Reserved; or it returns what stands already.
//
// An attempt that reserves twice gets Reserved both times, so that a lost reply can be asked for again.
func (l *Ledger) Reserve(now time.Time, key string, print, attempt uint64, deadline time.Time) ReserveResult {
	l.expire(now)
	r := l.records[key]
	if r == nil {
		return l.add(now, key, print, attempt, deadline)
	}
	if r.print != print {
		return ReserveResult{state: RequestMismatch}
	}
	if r.state == Running && r.attempt == attempt {
		return ReserveResult{state: Reserved}
	}
	if r.state == Running && now.After(r.until) {
		// The attempt did not report its end, so its node died or its report was lost.
		r.state = MayHaveRun
	}
	return ReserveResult{state: r.state, answer: r.answer, kept: r.kept}
}

func (l *Ledger) add(now time.Time, key string, print, attempt uint64, deadline time.Time) ReserveResult {
	if l.records == nil {
		l.records = map[string]*record{}
		l.order = list.New()
	}
	for l.bytes+recordSize > l.MaxBytes && l.dropAnswer() {
		continue
	}
	if len(l.records) >= l.MaxRecords || l.bytes+recordSize > l.MaxBytes {
		return ReserveResult{state: Full}
	}
	r := &record{key: key, print: print, attempt: attempt, state: Running, until: deadline, changed: now}
	r.place = l.order.PushBack(r)
	l.records[key] = r
	l.bytes += recordSize
	return ReserveResult{state: Reserved}
}

// Release forgets a reservation whose attempt is proven not to have run.
func (l *Ledger) Release(key string, attempt uint64) {
	if r := l.records[key]; r != nil && r.state == Running && r.attempt == attempt {
		l.remove(r)
	}
}

// Finish records how the attempt ended: a whole answer, or that it may have run.
func (l *Ledger) Finish(now time.Time, key string, attempt uint64, a answer.Answer) {
	r := l.records[key]
	if r == nil || r.attempt != attempt || r.state == Done {
		return
	}
	r.changed = now
	l.order.MoveToBack(r.place)
	if a.Ran() != answer.Yes {
		r.state = MayHaveRun
		return
	}
	r.state = Done
	size := len(a.Body())
	if len(l.records)*recordSize+size > l.MaxBytes {
		return
	}
	for l.bytes+size > l.MaxBytes && l.dropAnswer() {
		continue
	}
	r.answer, r.kept = a, true
	l.bytes += size
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Size returns the estimated bytes of all records.
func (l *Ledger) Size() int { return l.bytes }

func (l *Ledger) expire(now time.Time) {
	if l.order == nil {
		return
	}
	for e := l.order.Front(); e != nil; e = l.order.Front() {
		r := e.Value.(*record)
		if now.Sub(r.changed) < l.Retention {
			return
		}
		l.remove(r)
	}
}

func (l *Ledger) remove(r *record) {
	if r.kept {
		l.bytes -= len(r.answer.Body())
	}
	l.bytes -= recordSize
	l.order.Remove(r.place)
	delete(l.records, r.key)
}

// dropAnswer gives up the oldest held answer; the record itself stays, since it is what prevents a second run.
func (l *Ledger) dropAnswer() bool {
	for e := l.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.kept && len(r.answer.Body()) > 0 {
			l.bytes -= len(r.answer.Body())
			r.answer, r.kept = answer.Answer{}, false
			return true
		}
	}
	return false
}
