package mover

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/canary"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/record"
)

// advanceMove sends evidence and, on the leader, advances the move. It returns the number of writes that it started.
func (m *Mover) advanceMove(ctx context.Context, mv *move) int {
	m.sendEvidence(mv)
	m.evaluate(mv)
	if !elector.IsLeader(m.cluster.Self(), m.cluster.Nodes()) {
		return 0
	}
	now := m.now()
	if mv.badReason == "" && !mv.done && !mv.awaitsOutcome(now) {
		m.advanceShare(mv, now)
	}
	if now.Sub(mv.stageSentAt) >= stageResendInterval {
		m.broadcastStage(mv)
	}
	return m.writeState(ctx, mv)
}

// advanceShare raises the new version's share, or marks the move as done, when it is due.
func (m *Mover) advanceShare(mv *move, now time.Time) {
	pool := m.cluster.View().Pool(mv.order.Service())
	next := canary.Next(canary.Progress{
		Period: mv.order.Period(), StartDelay: mv.startDelay,
		Permille: mv.permille, TimeAtShare: now.Sub(mv.shareChangedAt), ReadyEndpoints: len(pool.Candidate),
	})
	mv.done = next.Done()
	if next.Permille() == mv.permille {
		return
	}
	if mv.permille == 0 {
		mv.startDelay = now.Sub(mv.orderKnownAt)
	}
	mv.permille, mv.shareChangedAt = next.Permille(), now
	m.log.Info("share of a move changed", "order", mv.order.ID(), "permille", mv.permille, "endpoints", len(pool.Candidate), "by", "this node")
	m.publish()
	m.broadcastStage(mv)
}

func (m *Mover) broadcastStage(mv *move) {
	now := m.now()
	mv.stageSentAt, mv.stageKnownAt = now, now
	if mv.settled {
		m.cluster.Broadcast(outcomeMessage(mv))
		return
	}
	m.cluster.Broadcast(message.New(kindStage, &stage{
		Order: mv.order.ID(), Permille: mv.permille, Elapsed: now.Sub(mv.orderKnownAt).Milliseconds(),
		StartDelay: mv.startDelay.Milliseconds(), BadReason: mv.badReason,
	}))
}

// writeState starts to write the move's state if it has changed, and returns the number of writes that it started.
func (m *Mover) writeState(ctx context.Context, mv *move) int {
	state := mv.outcome()
	if state == order.Running && mv.awaitsOutcome(m.now()) {
		return 0
	}
	if mv.writing || mv.refused || mv.writtenState == state {
		return 0
	}
	mv.writing = true
	o := mv.order
	go func() {
		limited, cancel := context.WithTimeout(ctx, stateWriteTimeout)
		defer cancel()
		m.writeResults <- writeResult{order: o, state: state, err: m.stateWriter.WriteOrderState(limited, o, state)}
	}()
	return 1
}

func (m *Mover) handleWriteResult(r writeResult) {
	mv := m.findMove(r.order.ID())
	if r.err != nil {
		m.log.Warn("state of a move not written", "order", r.order.ID(), "state", r.state, "kind", fault.KindOf(r.err), "error", r.err)
	} else {
		m.log.Info("state of a move written", "order", r.order.ID(), "state", r.state)
	}
	if mv == nil {
		return
	}
	mv.writing = false
	if k := fault.KindOf(r.err); r.err != nil && (k == fault.Conflict || k == fault.NotFound) && r.order.Revision() == mv.order.Revision() {
		// The store no longer has this order.
		mv.refused = true
	}
	if r.err == nil && record.Era(r.order.Revision()) == record.Era(mv.order.Revision()) {
		mv.writtenState = r.state
	}
}
