package mover

import (
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/record"
)

// A store that is restored from an older copy may show a move that has ended as running. The nodes that know how it ended
// keep to that: they settle the move, and the leader writes its state again. A leader that has started since does not know
// it. It broadcasts its stage before it gives the new version any calls, and nodes that know better tell it.

const (
	// outcomesKept is the number of outcomes that are kept for a service.
	outcomesKept = 8
	// restoredMovePause is how long a move begins without calls to the new version if the store was restored, in which
	// nodes that know how it ended can say so.
	restoredMovePause = time.Second
	// repliesWanted is the number of nodes that should reply to the first stage of a move that has ended. The number doubles
	// with each further stage.
	repliesWanted = 4
	// restoredReason is the reason why a version is bad that was found bad before a restore.
	restoredReason = "found bad before the store was restored"
)

// moveOutcome is the state in which an order has ended.
type moveOutcome struct {
	id       string
	state    order.State
	position uint64 // of the state in the store
}

// rememberOutcome keeps the state of an order that has ended.
func (m *Mover) rememberOutcome(o order.Order) {
	kept := m.outcomes[o.Service()]
	for i, known := range kept {
		if known.id == o.ID() {
			kept = append(kept[:i:i], kept[i+1:]...)
			break
		}
	}
	kept = append(kept, moveOutcome{id: o.ID(), state: o.State(), position: o.Revision()})
	m.outcomes[o.Service()] = kept[max(0, len(kept)-outcomesKept):]
}

// settledState returns the state in which the order has ended before the store was restored, or the state of the order. The
// copy has the order at a revision before that of its end; at a later one, operators have ordered the same again.
func (m *Mover) settledState(o order.Order) order.State {
	for _, known := range m.outcomes[o.Service()] {
		restored := record.Era(known.position) < record.Era(o.Revision())
		if known.id == o.ID() && restored && record.RevisionIn(o.Revision()) < record.RevisionIn(known.position) {
			return known.state
		}
	}
	return o.State()
}

// settle ends a move in the state that it had before the store was restored.
func (m *Mover) settle(mv *move, state order.State, by string) {
	mv.settled, mv.done = true, state == order.Completed
	if state == order.TakenBack {
		mv.badReason = restoredReason
		m.excludeVersion(mv.order.Service(), mv.order.Target())
	}
	m.log.Warn("move has ended before the store was restored", "order", mv.order.ID(), "state", state, "by", by)
}

// outcome returns the state in which the move has ended, or Running.
func (mv *move) outcome() order.State {
	switch {
	case mv.badReason != "":
		return order.TakenBack
	case mv.done:
		return order.Completed
	}
	return order.Running
}

// orderChanged adopts another revision of the move's order.
func (mv *move) orderChanged(o order.Order) {
	if record.Era(o.Revision()) > record.Era(mv.order.Revision()) {
		// The restore may have lost the state that this node has written.
		mv.writtenState = ""
	}
	mv.refused = mv.refused && o.Revision() == mv.order.Revision()
	mv.order = o
}

// awaitsOutcome reports whether the move must not begin yet, as another node may know that it has ended.
func (mv *move) awaitsOutcome(now time.Time) bool {
	return mv.permille == 0 && record.Era(mv.order.Revision()) > 0 && now.Sub(mv.orderKnownAt) < restoredMovePause
}

// replyOutcome tells the peer, which has sent the stage of a move that this node has settled, how the move ended. Not all
// nodes reply at once.
func (m *Mover) replyOutcome(mv *move, peer string) {
	nodes := len(m.cluster.Nodes()) + 1
	replies := repliesWanted << min(mv.stagesAfterEnd, 16)
	mv.stagesAfterEnd++
	if rand.IntN(nodes) < replies {
		m.peerSender.Send(peer, outcomeMessage(mv))
	}
}

func outcomeMessage(mv *move) message.Message {
	return message.New(kindOutcome, &outcomeNotice{Order: mv.order.ID(), State: string(mv.outcome())})
}

// applyOutcome adopts how a move ended, which another node knows from before a restore of the store.
func (m *Mover) applyOutcome(peer string, n *outcomeNotice) {
	mv := m.findMove(n.Order)
	state := order.State(n.State)
	if mv == nil || mv.settled || record.Era(mv.order.Revision()) == 0 || state != order.Completed && state != order.TakenBack {
		return
	}
	if mv.badReason == "" {
		m.settle(mv, state, peer)
		m.publish()
	}
}
