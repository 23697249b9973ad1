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

// advanceMove sends evidence and, on the leader, advances the move. It returns the number of writes that it started.
func (m *Mover) advanceMove(ctx context.Context, v *move) int {
	m.sendEvidence(v)
	m.evaluate(v)
	if !elector.IsLeader(m.cluster.Self(), m.cluster.Nodes()) {
		return 0
	}
	now := m.now()
	if v.badReason == "" && !v.done {
		m.advanceShare(v, now)
	}
	if now.Sub(v.stageSentAt) >= stageResendInterval {
		m.broadcastStage(v)
	}
	return m.writeState(ctx, v)
}

// sendEvidence sends this node's counts to the nodes that evaluate the move.
func (m *Mover) sendEvidence(v *move) {
	cells, calls := v.counter.snapshot()
	if calls == v.sentCalls {
		return
	}
	v.sentCalls = calls
	n := message.New(kindEvidence, &evidence{Order: v.order.ID(), Incarnation: m.config.Incarnation, Counts: cells})
	for _, c := range elector.TopRanked(m.cluster.Self(), m.cluster.Nodes(), evaluatorCount) {
		if c.Address != m.config.Node {
			m.peerSender.Send(c.Address, n)
		}
	}
}

// advanceShare raises the new version's share, or marks the move as done, when it is due.
func (m *Mover) advanceShare(v *move, now time.Time) {
	pool := m.cluster.View().Pool(v.order.Service())
	next := canary.Next(canary.Progress{
		Period: v.order.Period(), StartDelay: v.startDelay,
		Permille: v.permille, TimeAtShare: now.Sub(v.shareChangedAt), ReadyEndpoints: len(pool.Candidate),
	})
	v.done = next.Done()
	if next.Permille() == v.permille {
		return
	}
	if v.permille == 0 {
		v.startDelay = now.Sub(v.orderKnownAt)
	}
	v.permille, v.shareChangedAt = next.Permille(), now
	m.log.Info("share of a move changed", "order", v.order.ID(), "permille", v.permille, "endpoints", len(pool.Candidate), "by", "this node")
	m.publish()
	m.broadcastStage(v)
}

func (m *Mover) broadcastStage(v *move) {
	now := m.now()
	v.stageSentAt = now
	m.cluster.Broadcast(message.New(kindStage, &stage{
		Order: v.order.ID(), Permille: v.permille, Elapsed: now.Sub(v.orderKnownAt).Milliseconds(),
		StartDelay: v.startDelay.Milliseconds(), BadReason: v.badReason,
	}))
}

// writeState starts to write the move's state if it has changed, and returns the number of writes that it started.
func (m *Mover) writeState(ctx context.Context, v *move) int {
	state := order.Running
	switch {
	case v.badReason != "":
		state = order.TakenBack
	case v.done:
		state = order.Completed
	}
	if v.writing || v.writtenState == state {
		return 0
	}
	v.writing = true
	o := v.order
	go func() {
		limited, cancel := context.WithTimeout(ctx, stateWriteTimeout)
		defer cancel()
		m.writeResults <- writeResult{id: o.ID(), state: state, err: m.stateWriter.WriteOrderState(limited, o, state)}
	}()
	return 1
}

func (m *Mover) handleWriteResult(r writeResult) {
	v := m.findMove(r.id)
	if r.err != nil {
		m.log.Warn("state of a move not written", "order", r.id, "state", r.state, "kind", fault.KindOf(r.err), "error", r.err)
	} else {
		m.log.Info("state of a move written", "order", r.id, "state", r.state)
	}
	if v == nil {
		return
	}
	v.writing = false
	if r.err == nil {
		v.writtenState = r.state
	}
}
