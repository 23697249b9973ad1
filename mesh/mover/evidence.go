package mover

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/message"
)

// evaluators returns the addresses of the nodes that evaluate the move if no stage of it has arrived for the given time.
//
// The leader sends a stage each second. Without one, it may have lost power, with the other evaluator or its whole region,
// which the election takes up to 7.8 s to notice. The first nodes of every region evaluate the move then, too.
func (m *Mover) evaluators(silence time.Duration) []string {
	self, others := m.cluster.Self(), m.cluster.Nodes()
	top := elector.TopRanked(self, others, evaluatorCount)
	// While no node reaches the store, there is no leader.
	if silence > leaderSilence && top[0].StoreReachable {
		top = elector.TopOfRegions(self, others, evaluatorCount)
	}
	addresses := make([]string, len(top))
	for i, c := range top {
		addresses[i] = c.Address
	}
	return addresses
}

// evaluates reports whether this node is an evaluator of the move and has had the time to get the evidence of others.
func (m *Mover) evaluates(mv *move) bool {
	return slices.Contains(m.evaluators(m.now().Sub(mv.stageKnownAt)-evidenceDelay), m.config.Node)
}

// sendEvidence sends this node's counts to the nodes that evaluate the move if either have changed.
func (m *Mover) sendEvidence(mv *move) {
	cells, calls := mv.counter.snapshot()
	silence := m.now().Sub(mv.stageKnownAt)
	to := m.evaluators(silence)
	moved := !slices.Equal(to, mv.sentTo)
	if calls == mv.sentCalls && !moved {
		return
	}
	if moved {
		m.log.Info("evaluators of a move changed", "order", mv.order.ID(), "evaluators", to, "silence", silence.Milliseconds())
	}
	mv.sentCalls, mv.sentTo = calls, to
	if calls == 0 {
		return
	}
	n := message.New(kindEvidence, &evidence{Order: mv.order.ID(), Incarnation: m.config.Incarnation, Counts: cells})
	for _, address := range to {
		if address != m.config.Node {
			m.peerSender.Send(address, n)
		}
	}
}
