package spreader

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
)

const (
	pullInterval = time.Second
	// pullerTTL is how long a relay forwards marks to a node after the node's last pull.
	pullerTTL = 5 * time.Second
	// relayWarmUp is the time after which all nodes that can be reached have pulled from a new relay. Until then the
	// relay does not know all its receivers, and a confirmation would be false.
	relayWarmUp = 2 * pullInterval
	// firstRelayTimeout is the wait for the first relay, as for configuration; a healthy mesh confirms within 100 ms.
	firstRelayTimeout = 300 * time.Millisecond
	// maxRetryTime is how long a node resends unconfirmed marks; replacing both relays takes less.
	maxRetryTime = 30 * time.Second
	// maxBatches bounds the unconfirmed batches; further ones are sent without waiting for confirmation.
	maxBatches = 1024
	// maxPullers bounds the nodes that a relay forwards marks to.
	maxPullers = 4096
	// maxMarksPerPage bounds the marks of one message to about 40 KB.
	maxMarksPerPage = 256
)

// unknownReceivers stands for the receivers that a new relay does not know yet. It never confirms, so the sender
// resends the marks.
const unknownReceivers = ""

// Spreader distributes the marks of one node's guard. It is not safe for concurrent use.
type Spreader struct {
	Node        string       // set before the first use
	Incarnation uint64       // set before the first use
	Guard       *guard.Guard // set before the first use

	roster     roster.Roster
	hasRoster  bool                 // the roster has been set
	relaySince time.Time            // when this node became a relay
	synced     bool                 // a relay has sent all its marks
	lastPull   time.Time            // last pull by this node
	pullers    map[string]time.Time // last pull by other nodes
	cursors    map[string]cursor    // by the node that was asked
	lastBatch  uint64               // number of the last batch
	batches    map[uint64]*batch    // unconfirmed batches, by number
}

// cursor is the position up to which this node has another node's marks.
type cursor struct {
	incarnation uint64
	sequence    uint64
}

// batch is marks that were sent and are not confirmed by all receivers.
type batch struct {
	marks       []mark.Mark
	created     time.Time
	lastSent    time.Time       // for a batch of this node
	unconfirmed map[string]bool // receivers that have not confirmed
	sender      string          // the node that sent the batch, or empty for a batch of this node
	senderBatch uint64          // the sender's number of the batch
}

// SetRoster applies a new roster, and pulls marks if this node has not pulled all of them yet.
func (s *Spreader) SetRoster(now time.Time, r roster.Roster) []effect.Effect {
	if r.LeaseIndex() >= 0 && !s.isRelay() {
		s.relaySince = now
	}
	s.roster = r
	isFirst := !s.hasRoster
	s.hasRoster = true
	for peer := range s.cursors {
		if !slices.Contains(s.sources(), peer) {
			delete(s.cursors, peer)
		}
	}
	if isFirst || !s.synced {
		return s.pull(now)
	}
	return nil
}

// Synced reports whether this node has received all marks of a relay, or is a relay with no other relay to pull from.
func (s *Spreader) Synced() bool {
	return s.synced || s.hasRoster && s.isRelay() && len(s.sources()) == 0
}

// Pending reports whether the batch is still waiting for confirmation by all nodes.
func (s *Spreader) Pending(batch uint64) bool { return s.batches[batch] != nil }

func (s *Spreader) isRelay() bool { return s.hasRoster && s.roster.LeaseIndex() >= 0 }

// sources returns the nodes to pull from.
func (s *Spreader) sources() []string {
	if !s.isRelay() {
		return s.roster.Relays()
	}
	if !s.roster.IsGateway() {
		return s.roster.RegionRelays()
	}
	return slices.Concat(s.roster.RegionRelays(), s.roster.RemoteGateways())
}

// Tick pulls marks and resends unconfirmed batches when they are due; call it at least every 100 ms.
func (s *Spreader) Tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	if now.Sub(s.lastPull) >= pullInterval {
		effects = s.pull(now)
		maps.DeleteFunc(s.pullers, func(_ string, at time.Time) bool { return now.Sub(at) >= pullerTTL })
	}
	for _, n := range slices.Sorted(maps.Keys(s.batches)) {
		b := s.batches[n]
		age := now.Sub(b.created)
		switch {
		case b.sender != "" && age >= guard.MaxSpreadTime, age >= maxRetryTime:
			delete(s.batches, n)
		case b.sender == "" &&
			(b.lastSent.Equal(b.created) && age >= firstRelayTimeout || now.Sub(b.lastSent) >= pullInterval):
			effects = append(effects, s.resend(now, n, b)...)
		}
	}
	return effects
}

func (s *Spreader) pull(now time.Time) []effect.Effect {
	s.lastPull = now
	var effects []effect.Effect
	for _, peer := range s.sources() {
		effects = append(effects, s.pullFrom(peer))
	}
	return effects
}

func (s *Spreader) pullFrom(peer string) effect.Effect {
	c := s.cursors[peer]
	return effect.NewSend(peer, message.New(kindPull, &pullBody{
		Incarnation: c.incarnation, Sequence: c.sequence, Relay: s.isRelay(),
	}))
}

// Spread sends marks of this node's guard and returns the batch's number for Pending.
func (s *Spreader) Spread(now time.Time, ms []mark.Mark) (uint64, []effect.Effect) {
	b := &batch{marks: ms, created: now, lastSent: now}
	if s.isRelay() {
		return s.forward(b, toRelay)
	}
	b.unconfirmed = map[string]bool{}
	n := s.addBatch(b)
	if rs := s.roster.Relays(); len(rs) > 0 {
		return n, []effect.Effect{effect.NewSend(rs[0], newMarks(n, toRelay, ms))}
	}
	return n, nil
}

// resend sends a batch of this node again, to all relays of the data centre.
func (s *Spreader) resend(now time.Time, n uint64, b *batch) []effect.Effect {
	b.lastSent = now
	if s.isRelay() {
		// This node may have become a relay since it first sent the batch.
		delete(s.batches, n)
		return s.forwardAs(n, b, toRelay)
	}
	var effects []effect.Effect
	for _, r := range s.roster.Relays() {
		effects = append(effects, effect.NewSend(r, newMarks(n, toRelay, b.marks)))
	}
	return effects
}

// addBatch stores the batch until it is confirmed, and returns its number.
func (s *Spreader) addBatch(b *batch) uint64 {
	s.lastBatch++
	if s.batches == nil {
		s.batches = map[uint64]*batch{}
	}
	if len(s.batches) < maxBatches {
		s.batches[s.lastBatch] = b
	}
	return s.lastBatch
}

// forward sends a new batch to all nodes that get marks from this relay after the hop, and returns its number.
func (s *Spreader) forward(b *batch, h hop) (uint64, []effect.Effect) {
	s.lastBatch++
	return s.lastBatch, s.forwardAs(s.lastBatch, b, h)
}

// forwardAs sends the batch under the number n.
func (s *Spreader) forwardAs(n uint64, b *batch, h hop) []effect.Effect {
	b.unconfirmed = map[string]bool{}
	var effects []effect.Effect
	send := func(peers []string, next hop) {
		for _, p := range peers {
			if p == s.Node || p == b.sender || b.unconfirmed[p] {
				continue
			}
			b.unconfirmed[p] = true
			effects = append(effects, effect.NewSend(p, newMarks(n, next, b.marks)))
		}
	}
	if h == toRelay {
		send(s.roster.RemoteGateways(), toGateway)
	}
	if h == toRelay || h == toGateway {
		send(s.roster.RegionRelays(), toRegion)
	}
	send(slices.Sorted(maps.Keys(s.pullers)), toNode)
	if b.lastSent.Sub(s.relaySince) < relayWarmUp {
		b.unconfirmed[unknownReceivers] = true
	}
	switch {
	case len(b.unconfirmed) == 0 && b.sender != "":
		return append(effects, effect.NewSend(b.sender, newConfirmation(b.senderBatch)))
	case len(b.unconfirmed) > 0 && len(s.batches) < maxBatches:
		if s.batches == nil {
			s.batches = map[uint64]*batch{}
		}
		s.batches[n] = b
	}
	return effects
}
