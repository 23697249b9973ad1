package spreader

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/message"
)

// Receive processes a message of another node and reports whether it is of one of this package's kinds.
func (s *Spreader) Receive(now time.Time, peer string, m message.Message) ([]effect.Effect, bool) {
	switch b := m.Body().(type) {
	case *marksBody:
		return s.handleMarks(now, peer, b), true
	case *confirmationBody:
		return s.handleConfirmation(peer, b.Batch), true
	case *pullBody:
		return s.handlePull(now, peer, b), true
	case *pageBody:
		return s.handlePage(now, peer, b), true
	}
	return nil, false
}

func (s *Spreader) handleMarks(now time.Time, peer string, b *marksBody) []effect.Effect {
	s.Guard.Merge(now, b.Marks)
	if b.Hop >= toNode {
		return []effect.Effect{effect.NewSend(peer, newConfirmation(b.Batch))}
	}
	if !s.isRelay() {
		// The sender's roster is out of date: this node does not forward marks, so a confirmation would be false.
		return nil
	}
	_, effects := s.forward(&batch{
		marks: b.Marks, created: now, lastSent: now, sender: peer, senderBatch: b.Batch,
	}, b.Hop)
	return effects
}

// handleConfirmation records that the peer, and all nodes to which it forwarded the batch, have it.
func (s *Spreader) handleConfirmation(peer string, n uint64) []effect.Effect {
	b := s.batches[n]
	if b == nil {
		return nil
	}
	delete(b.unconfirmed, peer)
	if len(b.unconfirmed) > 0 {
		return nil
	}
	delete(s.batches, n)
	if b.sender == "" {
		return nil
	}
	return []effect.Effect{effect.NewSend(b.sender, newConfirmation(b.senderBatch))}
}

func (s *Spreader) handlePull(now time.Time, peer string, b *pullBody) []effect.Effect {
	if !b.Relay {
		s.recordPuller(now, peer)
	}
	since := b.Sequence
	if b.Incarnation != s.Incarnation {
		since = 0
	}
	ms, next := s.Guard.MarksSince(now, since, maxMarksPerPage)
	page := &pageBody{Incarnation: s.Incarnation, Sequence: next, More: next < s.Guard.Sequence(), Marks: ms}
	return []effect.Effect{effect.NewSend(peer, message.New(kindPage, page))}
}

// recordPuller adds the peer to the nodes that marks are forwarded to.
func (s *Spreader) recordPuller(now time.Time, peer string) {
	if _, found := s.pullers[peer]; !found && len(s.pullers) >= maxPullers {
		return
	}
	if s.pullers == nil {
		s.pullers = map[string]time.Time{}
	}
	s.pullers[peer] = now
}

func (s *Spreader) handlePage(now time.Time, peer string, b *pageBody) []effect.Effect {
	s.Guard.Merge(now, b.Marks)
	if s.cursors == nil {
		s.cursors = map[string]cursor{}
	}
	s.cursors[peer] = cursor{incarnation: b.Incarnation, sequence: b.Sequence}
	if b.More {
		return []effect.Effect{s.pullFrom(peer)}
	}
	s.synced = true
	return nil
}
