package ledger

import (
	"container/list"
	"time"

	"wisteriaspoke.example/mesh/answer"
)

// State is the recorded state of a key.
type State string

// The states of a key.
const (
	Reserved        State = "fresh"   // no record before; reserved now
	Running         State = "running" // reserved by another attempt that may still run
	Done            State = "done"    // ran and has a complete answer
	MayHaveRun      State = "maybe"   // may have run; there is no complete answer
	RequestMismatch State = "other"   // used with another request
	Full            State = "full"    // the limits are reached; nothing was reserved
)

// recordBytes is the estimated memory of one record without its answer.
const recordBytes = 256

// Ledger holds records for a bounded time and in bounded memory. One goroutine at a time may use it.
type Ledger struct {
	Retention  time.Duration // how long a record is kept after its last change
	MaxBytes   int           // limit of all records with their answers
	MaxRecords int           // limit of the number of records

	records      map[string]*record
	byLastChange *list.List // records by last change, oldest first
	bytes        int
}

type record struct {
	key         string
	fingerprint uint64
	attempt     uint64
	state       State
	deadline    time.Time // end of a running attempt
	changed     time.Time
	answer      answer.Answer
	answerHeld  bool
	element     *list.Element
}

// ReserveResult is the result of Reserve for a key.
type ReserveResult struct {
	state      State
	answer     answer.Answer
	answerHeld bool
}

// NewReserveResult returns the result of another node's ledger; answerHeld is set if a is the first answer.
func NewReserveResult(s State, a answer.Answer, answerHeld bool) ReserveResult {
	return ReserveResult{state: s, answer: a, answerHeld: answerHeld}
}

// State returns the state of the key.
func (r ReserveResult) State() State { return r.state }

// Answer returns the first answer and whether it is still held.
func (r ReserveResult) Answer() (answer.Answer, bool) { return r.answer, r.answerHeld }

// Reserve records that attempt is about to run the request with the fingerprint under the key until the deadline, and
// returns Reserved. If the key has a record already, its state and answer are returned.
//
// An attempt that reserves twice gets Reserved both times, so that it can ask again after a lost reply.
func (l *Ledger) Reserve(now time.Time, key string, fingerprint, attempt uint64, deadline time.Time) ReserveResult {
	l.expire(now)
	r := l.records[key]
	if r == nil {
		return l.add(now, key, fingerprint, attempt, deadline)
	}
	if r.fingerprint != fingerprint {
		return ReserveResult{state: RequestMismatch}
	}
	if r.state == Running && r.attempt == attempt {
		return ReserveResult{state: Reserved}
	}
	if r.state == Running && now.After(r.deadline) {
		// The attempt did not report its end, so its node died or its report was lost.
		r.state = MayHaveRun
	}
	return ReserveResult{state: r.state, answer: r.answer, answerHeld: r.answerHeld}
}

func (l *Ledger) add(now time.Time, key string, fingerprint, attempt uint64, deadline time.Time) ReserveResult {
	if l.records == nil {
		l.records = map[string]*record{}
		l.byLastChange = list.New()
	}
	for l.bytes+recordBytes > l.MaxBytes && l.dropAnswer() {
		continue
	}
	if len(l.records) >= l.MaxRecords || l.bytes+recordBytes > l.MaxBytes {
		return ReserveResult{state: Full}
	}
	r := &record{key: key, fingerprint: fingerprint, attempt: attempt, state: Running, deadline: deadline, changed: now}
	r.element = l.byLastChange.PushBack(r)
	l.records[key] = r
	l.bytes += recordBytes
	return ReserveResult{state: Reserved}
}

// Release removes a reservation whose attempt is proven not to have run.
func (l *Ledger) Release(key string, attempt uint64) {
	if r := l.records[key]; r != nil && r.state == Running && r.attempt == attempt {
		l.remove(r)
	}
}

// Finish records how the attempt ended: with a complete answer, or that it may have run.
func (l *Ledger) Finish(now time.Time, key string, attempt uint64, a answer.Answer) {
	r := l.records[key]
	if r == nil || r.attempt != attempt || r.state == Done {
		return
	}
	r.changed = now
	l.byLastChange.MoveToBack(r.element)
	if a.Ran() != answer.Yes {
		r.state = MayHaveRun
		return
	}
	r.state = Done
	size := len(a.Body())
	if len(l.records)*recordBytes+size > l.MaxBytes {
		return
	}
	for l.bytes+size > l.MaxBytes && l.dropAnswer() {
		continue
	}
	r.answer, r.answerHeld = a, true
	l.bytes += size
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Size returns the estimated bytes of all records.
func (l *Ledger) Size() int { return l.bytes }

func (l *Ledger) expire(now time.Time) {
	if l.byLastChange == nil {
		return
	}
	for e := l.byLastChange.Front(); e != nil; e = l.byLastChange.Front() {
		r := e.Value.(*record)
		if now.Sub(r.changed) < l.Retention {
			return
		}
		l.remove(r)
	}
}

func (l *Ledger) remove(r *record) {
	if r.answerHeld {
		l.bytes -= len(r.answer.Body())
	}
	l.bytes -= recordBytes
	l.byLastChange.Remove(r.element)
	delete(l.records, r.key)
}

// dropAnswer discards the oldest held answer and reports whether there was one. The record itself stays, since it
// prevents a second run.
func (l *Ledger) dropAnswer() bool {
	for e := l.byLastChange.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.answerHeld && len(r.answer.Body()) > 0 {
			l.bytes -= len(r.answer.Body())
			r.answer, r.answerHeld = answer.Answer{}, false
			return true
		}
	}
	return false
}
