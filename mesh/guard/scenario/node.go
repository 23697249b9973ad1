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

// Limits of package isolator.
const (
	holdLimit    = 500 * time.Millisecond
	holdInterval = 50 * time.Millisecond
	replyLimit   = 250 * time.Millisecond
	// deadline is the limit of a call.
	deadline = 10 * time.Second
)

// Reasons of answers.
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
	running               map[uint64]*run
	held                  map[uint64][]func() // answers that wait for a batch
}

// run is a call at an upstream.
type run struct {
	id     uint64
	call   string
	epoch  uint64
	holder bool // it has the permission of the witness
	done   func(reason string)
}

// print returns the fingerprint of a call.
func print(call string) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(call))
	return fmt.Sprintf("%032x", h.Sum(nil))
}

// Call sends the call to the node's upstream, where it takes the time; a bad call crashes the upstream then. done gets
// the reason of the answer when the caller has it.
func (m *Mesh) Call(to int, call string, takes time.Duration, bad bool, done func(reason string)) {
	m.last++
	n := m.nodes[to]
	r := &run{id: m.last, call: call, done: func(reason string) { m.clock.after(callerLatency, func() { done(reason) }) }}
	m.clock.after(callerLatency, func() {
		if m.shape.Unguarded {
			n.start(r, takes, bad)
			return
		}
		n.enter(r, m.clock.now, func() { n.start(r, takes, bad) })
	})
}

// enter asks as package isolator does until the call may run or has waited for too long.
func (n *node) enter(r *run, since time.Time, start func()) {
	m := n.mesh
	p := print(r.call)
	again := func() {
		if m.clock.now.Sub(since) >= holdLimit {
			r.done(Suspect)
			return
		}
		m.clock.after(holdInterval/2+time.Duration(m.random.Int64N(int64(holdInterval))), func() { n.enter(r, since, start) })
	}
	switch n.guard.Decide(m.clock.now, r.id, p) {
	case guard.Run:
		start()
	case guard.Poison:
		r.done(Poison)
	case guard.Hold:
		again()
	case guard.RunAlone:
		n.permit(r, func(granted bool) {
			r.holder = granted
			if granted {
				start()
				return
			}
			n.guard.RecordEnd(m.clock.now, r.id, p, 0, guard.Unsent)
			again()
		})
	}
}

// permit asks the witness.
func (n *node) permit(r *run, then func(granted bool)) {
	m := n.mesh
	p := print(r.call)
	witness, known := n.guard.Witness(m.clock.now, p)
	answered := false
	answer := func(granted bool) {
		if !answered {
			answered = true
			then(granted)
		}
	}
	w := m.byName[witness]
	m.deliver(n, w, func() {
		granted := w.guard.GrantPermit(m.clock.now, p, r.id, m.clock.now.Add(deadline+guard.MaxSpreadTime))
		m.deliver(w, n, func() { answer(granted) })
	})
	m.clock.after(replyLimit, func() { answer(known >= guard.MaxSpreadTime) })
}

func (n *node) giveBack(r *run, witness string) {
	if w := n.mesh.byName[witness]; w != nil {
		n.mesh.deliver(n, w, func() { w.guard.ReleasePermit(print(r.call), r.id) })
	}
}

// start sends the call to the upstream.
func (n *node) start(r *run, takes time.Duration, bad bool) {
	m := n.mesh
	witness, _ := n.guard.Witness(m.clock.now, print(r.call))
	if !n.up {
		n.guard.RecordEnd(m.clock.now, r.id, print(r.call), 0, guard.Unsent)
		if r.holder {
			n.giveBack(r, witness)
		}
		r.done(Down)
		return
	}
	r.epoch = n.guard.Epoch()
	n.guard.RecordSend(r.id)
	n.running[r.id] = r
	m.clock.after(takes, func() {
		if n.running[r.id] != r {
			return
		}
		if bad {
			m.crashes[r.call]++
			n.crash()
			return
		}
		delete(n.running, r.id)
		n.finish(r, witness)
	})
}

func (n *node) finish(r *run, witness string) {
	m := n.mesh
	ending := guard.Complete
	if m.shape.NeverClear {
		ending = guard.Unsent
	}
	if !m.shape.Unguarded {
		if marks := n.guard.RecordEnd(m.clock.now, r.id, print(r.call), r.epoch, ending); len(marks) > 0 {
			n.spread(marks, nil)
		}
		if r.holder {
			n.giveBack(r, witness)
		}
	}
	r.done(Complete)
}

// crash ends all calls in flight, in a random order.
func (n *node) crash() {
	m := n.mesh
	n.up = false
	m.clock.after(restart, func() { n.up = true })
	ids := slices.Sorted(maps.Keys(n.running))
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var marks []mark.Mark
	var answers []func()
	for _, id := range ids {
		r := n.running[id]
		delete(n.running, id)
		answers = append(answers, func() { r.done(Crashed) })
		if !m.shape.Unguarded {
			marks = append(marks, n.guard.RecordEnd(m.clock.now, id, print(r.call), r.epoch, guard.Crashed)...)
		}
	}
	if m.shape.CountTwice {
		for _, k := range slices.Clone(marks) {
			f := k.Fields()
			f.Counter += 1000
			marks = append(marks, n.guard.Merge(m.clock.now, []mark.Mark{mark.New(f)})...)
		}
	}
	if m.shape.Unguarded || m.shape.AnswerAtOnce {
		for _, a := range answers {
			a()
		}
		answers = nil
	}
	if !m.shape.Unguarded {
		n.spread(marks, answers)
	}
}

// spread sends the marks and gives the answers when all nodes have them.
func (n *node) spread(marks []mark.Mark, answers []func()) {
	batch, effects := n.spreader.Spread(n.mesh.clock.now, marks)
	n.send(effects)
	n.held[batch] = answers
	n.settle()
	n.mesh.clock.after(guard.MaxSpreadTime, func() { n.release(batch) })
}

func (n *node) settle() {
	for _, batch := range slices.Sorted(maps.Keys(n.held)) {
		if !n.spreader.Pending(batch) {
			n.release(batch)
		}
	}
}

func (n *node) release(batch uint64) {
	answers := n.held[batch]
	delete(n.held, batch)
	for _, a := range answers {
		a()
	}
}
