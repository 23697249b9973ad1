package spreader

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/message"
)

// Receive takes a message of another node and reports whether it was of this package's kinds.
func (s *Spreader) Receive(now time.Time, peer string, m message.Message) ([]effect.Effect, bool) {
	switch b := m.Body().(type) {
	case *marksBody:
		return s.takeMarks(now, peer, b), true
	case *takenBody:
		return s.confirm(peer, b.Batch), true
	case *pullBody:
		return s.answer(now, peer, b), true
	case *pageBody:
		return s.takePage(now, peer, b), true
	}
	return nil, false
}

func (s *Spreader) takeMarks(now time.Time, peer string, b *marksBody) []effect.Effect {
	s.Guard.Merge(now, b.Marks)
	if b.Hop >= toNode {
		return []effect.Effect{effect.NewSend(peer, newTaken(b.Batch))}
	}
	if !s.relay() {
		// The sender's view of the relays is old, and a confirmation would be false.
		return nil
	}
	_, effects := s.pass(&batch{marks: b.Marks, made: now, sent: now, peer: peer, number: b.Batch}, b.Hop)
	return effects
}

// confirm notes that the peer and all behind it have the batch.
func (s *Spreader) confirm(peer string, n uint64) []effect.Effect {
	b := s.batches[n]
	if b == nil {
		return nil
	}
	delete(b.waiting, peer)
	if len(b.waiting) > 0 {
		return nil
	}
	delete(s.batches, n)
	if b.peer == "" {
		return nil
	}
	return []effect.Effect{effect.NewSend(b.peer, newTaken(b.number))}
}

func (s *Spreader) answer(now time.Time, peer string, b *pullBody) []effect.Effect {
	if !b.Relay {
		s.remember(now, peer)
	}
	from := b.Sequence
	if b.Incarnation != s.Incarnation {
		from = 0
	}
	ms, next := s.Guard.MarksSince(now, from, pageSize)
	page := &pageBody{Incarnation: s.Incarnation, Sequence: next, More: next < s.Guard.Sequence(), Marks: ms}
	return []effect.Effect{effect.NewSend(peer, message.New(kindPage, page))}
}

func (s *Spreader) remember(now time.Time, peer string) {
	if _, known := s.askers[peer]; !known && len(s.askers) >= maxAskers {
		return
	}
	if s.askers == nil {
		s.askers = map[string]time.Time{}
	}
	s.askers[peer] = now
}

func (s *Spreader) takePage(now time.Time, peer string, b *pageBody) []effect.Effect {
	s.Guard.Merge(now, b.Marks)
	if s.cursors == nil {
		s.cursors = map[string]cursor{}
	}
	s.cursors[peer] = cursor{life: b.Incarnation, sequence: b.Sequence}
	if b.More {
		return []effect.Effect{s.pullFrom(peer)}
	}
	s.synced = true
	return nil
}
