package scenario

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/spreader"
)

// Times as in package isolator.
const (
	maxHoldTime         = 500 * time.Millisecond
	permitRetryInterval = 50 * time.Millisecond
	permitTimeout       = 250 * time.Millisecond
	// callTimeout is the time limit of a call.
	callTimeout = 10 * time.Second
)

// Reasons of answers; Complete is the answer to a call that has run.
const (
	Complete = "whole"
	Crashed  = "crashed"
	Down     = "down"
	Suspect  = "suspect"
	Poison   = "poison"
)

// node is one node with its upstream.
type node struct {
	mesh                  *Mesh
	name                  string
	region, centre, index int
	guard                 *guard.Guard
	spreader              *spreader.Spreader
	up                    bool
	running               map[uint64]*runningCall // by call ID
	heldAnswers           map[uint64][]func()     // by batch that the answers wait for
}

// runningCall is a call at an upstream.
type runningCall struct {
	id        uint64
	call      string
	epoch     uint64
	hasPermit bool // it has the permission of the witness
	done      func(reason string)
}

// fingerprint returns the fingerprint of a call.
func fingerprint(call string) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(call))
	return fmt.Sprintf("%032x", h.Sum(nil))
}

// Call sends the call to the node's upstream, where it runs for the service time; a culprit then crashes the upstream.
// done is called with the reason of the answer when the caller receives it.
func (m *Mesh) Call(to int, call string, serviceTime time.Duration, isCulprit bool, done func(reason string)) {
	m.lastCallID++
	n := m.nodes[to]
	r := &runningCall{id: m.lastCallID, call: call, done: func(reason string) {
		m.clock.after(callerLatency, func() { done(reason) })
	}}
	m.clock.after(callerLatency, func() {
		if m.config.Unguarded {
			n.start(r, serviceTime, isCulprit)
			return
		}
		n.admit(r, m.clock.now, func() { n.start(r, serviceTime, isCulprit) })
	})
}

// admit asks the guard, as package isolator does, until the call may run or has waited for maxHoldTime.
func (n *node) admit(r *runningCall, started time.Time, start func()) {
	m := n.mesh
	p := fingerprint(r.call)
	retry := func() {
		if m.clock.now.Sub(started) >= maxHoldTime {
			r.done(Suspect)
			return
		}
		m.clock.after(permitRetryInterval/2+time.Duration(m.random.Int64N(int64(permitRetryInterval))), func() {
			n.admit(r, started, start)
		})
	}
	switch n.guard.Decide(m.clock.now, r.id, p) {
	case guard.Run:
		start()
	case guard.Poison:
		r.done(Poison)
	case guard.Hold:
		retry()
	case guard.RunAlone:
		n.requestPermit(r, func(granted bool) {
			r.hasPermit = granted
			if granted {
				start()
				return
			}
			n.guard.RecordEnd(m.clock.now, r.id, p, 0, guard.Unsent)
			retry()
		})
	}
}

// requestPermit asks the witness for permission, as package isolator does.
func (n *node) requestPermit(r *runningCall, then func(granted bool)) {
	m := n.mesh
	p := fingerprint(r.call)
	witness, knownFor := n.guard.Witness(m.clock.now, p)
	answered := false
	answer := func(granted bool) {
		if !answered {
			answered = true
			then(granted)
		}
	}
	w := m.byName[witness]
	m.deliver(n, w, func() {
		granted := w.guard.GrantPermit(m.clock.now, p, r.id, m.clock.now.Add(callTimeout+guard.MaxSpreadTime))
		m.deliver(w, n, func() { answer(granted) })
	})
	m.clock.after(permitTimeout, func() { answer(knownFor >= guard.MaxSpreadTime) })
}

func (n *node) returnPermit(r *runningCall, witness string) {
	if w := n.mesh.byName[witness]; w != nil {
		n.mesh.deliver(n, w, func() { w.guard.ReleasePermit(fingerprint(r.call), r.id) })
	}
}

// start sends the call to the upstream.
func (n *node) start(r *runningCall, serviceTime time.Duration, isCulprit bool) {
	m := n.mesh
	witness, _ := n.guard.Witness(m.clock.now, fingerprint(r.call))
	if !n.up {
		n.guard.RecordEnd(m.clock.now, r.id, fingerprint(r.call), 0, guard.Unsent)
		if r.hasPermit {
			n.returnPermit(r, witness)
		}
		r.done(Down)
		return
	}
	r.epoch = n.guard.Epoch()
	n.guard.RecordSend(r.id)
	n.running[r.id] = r
	m.clock.after(serviceTime, func() {
		if n.running[r.id] != r {
			return
		}
		if isCulprit {
			m.crashes[r.call]++
			n.crash()
			return
		}
		delete(n.running, r.id)
		n.finish(r, witness)
	})
}

func (n *node) finish(r *runningCall, witness string) {
	m := n.mesh
	ending := guard.Complete
	if m.config.NeverClear {
		ending = guard.Unsent
	}
	if !m.config.Unguarded {
		if marks := n.guard.RecordEnd(m.clock.now, r.id, fingerprint(r.call), r.epoch, ending); len(marks) > 0 {
			n.spread(marks, nil)
		}
		if r.hasPermit {
			n.returnPermit(r, witness)
		}
	}
	r.done(Complete)
}

// crash crashes the upstream, which ends all calls in flight, in random order.
func (n *node) crash() {
	m := n.mesh
	n.up = false
	m.clock.after(restartTime, func() { n.up = true })
	ids := slices.Sorted(maps.Keys(n.running))
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var marks []mark.Mark
	var answers []func()
	for _, id := range ids {
		r := n.running[id]
		delete(n.running, id)
		answers = append(answers, func() { r.done(Crashed) })
		if !m.config.Unguarded {
			marks = append(marks, n.guard.RecordEnd(m.clock.now, id, fingerprint(r.call), r.epoch, guard.Crashed)...)
		}
	}
	if m.config.CountTwice {
		for _, k := range slices.Clone(marks) {
			f := k.Fields()
			f.Counter += 1000
			marks = append(marks, n.guard.Merge(m.clock.now, []mark.Mark{mark.New(f)})...)
		}
	}
	if m.config.Unguarded || m.config.AnswerAtOnce {
		for _, a := range answers {
			a()
		}
		answers = nil
	}
	if !m.config.Unguarded {
		n.spread(marks, answers)
	}
}

// spread sends the marks, and the answers after all nodes have the marks.
func (n *node) spread(marks []mark.Mark, answers []func()) {
	batch, effects := n.spreader.Spread(n.mesh.clock.now, marks)
	n.send(effects)
	n.heldAnswers[batch] = answers
	n.releaseConfirmed()
	n.mesh.clock.after(guard.MaxSpreadTime, func() { n.releaseAnswers(batch) })
}

// releaseConfirmed sends the answers whose marks all nodes have.
func (n *node) releaseConfirmed() {
	for _, batch := range slices.Sorted(maps.Keys(n.heldAnswers)) {
		if !n.spreader.Pending(batch) {
			n.releaseAnswers(batch)
		}
	}
}

func (n *node) releaseAnswers(batch uint64) {
	answers := n.heldAnswers[batch]
	delete(n.heldAnswers, batch)
	for _, a := range answers {
		a()
	}
}
