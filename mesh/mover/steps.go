package mover

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/canary"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
)

// step sends evidence and, on the deciding node, takes the next step. It returns the number of writes that it began.
func (m *Mover) step(ctx context.Context, v *move) int {
	m.testify(v)
	m.judge(v)
	if !elector.IsLeader(m.sender.Self(), m.sender.Nodes()) {
		return 0
	}
	now := m.now()
	if v.bad == "" && !v.done {
		m.advance(v, now)
	}
	if now.Sub(v.sent) >= repeat {
		m.announce(v)
	}
	return m.record(ctx, v)
}

// testify sends what this node has seen to the nodes that judge.
func (m *Mover) testify(v *move) {
	cells, calls := v.counter.list()
	if calls == v.testified {
		return
	}
	v.testified = calls
	n := message.New(kindEvidence, &evidence{Order: v.order.ID(), Incarnation: m.config.Incarnation, Counts: cells})
	for _, c := range elector.TopRanked(m.sender.Self(), m.sender.Nodes(), judges) {
		if c.Address != m.config.Node {
			m.carrier.Send(c.Address, n)
		}
	}
}

// advance takes the next step of a move.
func (m *Mover) advance(v *move, now time.Time) {
	pool := m.sender.View().Pool(v.order.Service())
	s := canary.Next(canary.Progress{
		Period: v.order.Period(), StartDelay: v.begun,
		Permille: v.permille, TimeAtShare: now.Sub(v.changed), ReadyEndpoints: len(pool.Candidate),
	})
	v.done = s.Done()
	if s.Permille() == v.permille {
		return
	}
	if v.permille == 0 {
		v.begun = now.Sub(v.started)
	}
	v.permille, v.changed = s.Permille(), now
	m.log.Info("share of a move changed", "order", v.order.ID(), "permille", v.permille, "endpoints", len(pool.Candidate), "by", "this node")
	m.publish()
	m.announce(v)
}

func (m *Mover) announce(v *move) {
	now := m.now()
	v.sent = now
	m.sender.Broadcast(message.New(kindStage, &stage{
		Order: v.order.ID(), Permille: v.permille, Elapsed: now.Sub(v.started).Milliseconds(), StartDelay: v.begun.Milliseconds(), BadReason: v.bad,
	}))
}

// record begins to write the move's state if it has changed, and returns the number of writes that it began.
func (m *Mover) record(ctx context.Context, v *move) int {
	state := order.Running
	switch {
	case v.bad != "":
		state = order.TakenBack
	case v.done:
		state = order.Completed
	}
	if v.recording || v.recorded == state {
		return 0
	}
	v.recording = true
	o := v.order
	go func() {
		limited, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		m.results <- result{id: o.ID(), state: state, err: m.recorder.WriteOrderState(limited, o, state)}
	}()
	return 1
}

func (m *Mover) concluded(r result) {
	v := m.find(r.id)
	if r.err != nil {
		m.log.Warn("state of a move not written", "order", r.id, "state", r.state, "kind", fault.KindOf(r.err), "error", r.err)
	} else {
		m.log.Info("state of a move written", "order", r.id, "state", r.state)
	}
	if v == nil {
		return
	}
	v.recording = false
	if r.err == nil {
		v.recorded = r.state
	}
}
