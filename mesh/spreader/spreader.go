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
	// pulledLately is how long a relay passes marks to a node after its last pull.
	pulledLately = 5 * time.Second
	// seatedLong is how long a relay has held its seat when all nodes that can be reached have pulled from it. Before,
	// it does not know whom to pass marks to, and a confirmation would be false.
	seatedLong = 2 * pullInterval
	// fallback is the wait for the first relay, as for configuration; a healthy mesh confirms within 100 ms.
	fallback = 300 * time.Millisecond
	// retryFor is how long a node repeats marks that were not confirmed, longer than both relays take to be replaced.
	retryFor = 30 * time.Second
	// maxBatches bounds the batches that wait for confirmation; marks beyond it are passed on without.
	maxBatches = 1024
	// maxAskers bounds the nodes that a relay passes marks to.
	maxAskers = 4096
	// pageSize bounds the marks of one message to about 40 KB.
	pageSize = 256
)

// unknown stands for the receivers that a new relay does not know yet. It never confirms; the sender repeats the marks.
const unknown = ""

// Spreader spreads the marks of one node's guard. It is not safe for concurrent use.
type Spreader struct {
	Node        string       // set before the first use
	Incarnation uint64       // set before the first use
	Guard       *guard.Guard // set before the first use

	roster  roster.Roster
	known   bool                 // the roster has been set
	seated  time.Time            // when this node became a relay
	synced  bool                 // a relay has sent all its marks
	pulled  time.Time            // last pull by this node
	askers  map[string]time.Time // last pull by other nodes
	cursors map[string]cursor    // by asked node
	last    uint64               // batch
	batches map[uint64]*batch
}

// cursor is how much this node has of another node's marks.
type cursor struct {
	life     uint64
	sequence uint64
}

// batch is marks that were passed on and not confirmed by all.
type batch struct {
	marks   []mark.Mark
	made    time.Time
	sent    time.Time       // last time, for a batch of this node
	waiting map[string]bool // receivers that have not confirmed
	peer    string          // sender, or empty for a batch of this node
	number  uint64          // of the sender's batch
}

// SetRoster takes a new view of the relays.
func (s *Spreader) SetRoster(now time.Time, r roster.Roster) []effect.Effect {
	if r.LeaseIndex() >= 0 && !s.relay() {
		s.seated = now
	}
	s.roster = r
	first := !s.known
	s.known = true
	for peer := range s.cursors {
		if !slices.Contains(s.sources(), peer) {
			delete(s.cursors, peer)
		}
	}
	if first || !s.synced {
		return s.pull(now)
	}
	return nil
}

// Synced reports whether this node has had all marks of a relay, or is a relay without others to ask.
func (s *Spreader) Synced() bool {
	return s.synced || s.known && s.relay() && len(s.sources()) == 0
}

// Pending reports whether not all nodes have confirmed the batch.
func (s *Spreader) Pending(batch uint64) bool { return s.batches[batch] != nil }

func (s *Spreader) relay() bool { return s.known && s.roster.LeaseIndex() >= 0 }

// sources returns the nodes to pull from.
func (s *Spreader) sources() []string {
	if !s.relay() {
		return s.roster.Relays()
	}
	if !s.roster.IsGateway() {
		return s.roster.RegionRelays()
	}
	return slices.Concat(s.roster.RegionRelays(), s.roster.RemoteGateways())
}

// Tick pulls and repeats what is due; called at least every 100 ms.
func (s *Spreader) Tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	if now.Sub(s.pulled) >= pullInterval {
		effects = s.pull(now)
		maps.DeleteFunc(s.askers, func(_ string, at time.Time) bool { return now.Sub(at) >= pulledLately })
	}
	for _, n := range slices.Sorted(maps.Keys(s.batches)) {
		b := s.batches[n]
		age := now.Sub(b.made)
		switch {
		case b.peer != "" && age >= guard.MaxSpreadTime, age >= retryFor:
			delete(s.batches, n)
		case b.peer == "" && (b.sent.Equal(b.made) && age >= fallback || now.Sub(b.sent) >= pullInterval):
			effects = append(effects, s.repeat(now, n, b)...)
		}
	}
	return effects
}

func (s *Spreader) pull(now time.Time) []effect.Effect {
	s.pulled = now
	var effects []effect.Effect
	for _, peer := range s.sources() {
		effects = append(effects, s.pullFrom(peer))
	}
	return effects
}

func (s *Spreader) pullFrom(peer string) effect.Effect {
	c := s.cursors[peer]
	return effect.NewSend(peer, message.New(kindPull, &pullBody{Incarnation: c.life, Sequence: c.sequence, Relay: s.relay()}))
}

// Spread sends marks of this node's guard and returns the batch's number for Pending.
func (s *Spreader) Spread(now time.Time, ms []mark.Mark) (uint64, []effect.Effect) {
	b := &batch{marks: ms, made: now, sent: now}
	if s.relay() {
		return s.pass(b, toRelay)
	}
	b.waiting = map[string]bool{}
	n := s.keep(b)
	if rs := s.roster.Relays(); len(rs) > 0 {
		return n, []effect.Effect{effect.NewSend(rs[0], newMarks(n, toRelay, ms))}
	}
	return n, nil
}

// repeat sends a batch of this node again, to all relays.
func (s *Spreader) repeat(now time.Time, n uint64, b *batch) []effect.Effect {
	b.sent = now
	if s.relay() {
		// Also after this node has become a relay meanwhile.
		delete(s.batches, n)
		return s.passAs(n, b, toRelay)
	}
	var effects []effect.Effect
	for _, r := range s.roster.Relays() {
		effects = append(effects, effect.NewSend(r, newMarks(n, toRelay, b.marks)))
	}
	return effects
}

// keep holds the batch until it is confirmed, and returns its number.
func (s *Spreader) keep(b *batch) uint64 {
	s.last++
	if s.batches == nil {
		s.batches = map[uint64]*batch{}
	}
	if len(s.batches) < maxBatches {
		s.batches[s.last] = b
	}
	return s.last
}

// pass sends the batch to all that get marks from this relay after the hop.
func (s *Spreader) pass(b *batch, h hop) (uint64, []effect.Effect) {
	s.last++
	return s.last, s.passAs(s.last, b, h)
}

func (s *Spreader) passAs(n uint64, b *batch, h hop) []effect.Effect {
	b.waiting = map[string]bool{}
	var effects []effect.Effect
	send := func(peers []string, next hop) {
		for _, p := range peers {
			if p == s.Node || p == b.peer || b.waiting[p] {
				continue
			}
			b.waiting[p] = true
			effects = append(effects, effect.NewSend(p, newMarks(n, next, b.marks)))
		}
	}
	if h == toRelay {
		send(s.roster.RemoteGateways(), toGateway)
	}
	if h == toRelay || h == toGateway {
		send(s.roster.RegionRelays(), toRegion)
	}
	send(slices.Sorted(maps.Keys(s.askers)), toNode)
	if b.sent.Sub(s.seated) < seatedLong {
		b.waiting[unknown] = true
	}
	switch {
	case len(b.waiting) == 0 && b.peer != "":
		return append(effects, effect.NewSend(b.peer, newTaken(b.number)))
	case len(b.waiting) > 0 && len(s.batches) < maxBatches:
		if s.batches == nil {
			s.batches = map[uint64]*batch{}
		}
		s.batches[n] = b
	}
	return effects
}
