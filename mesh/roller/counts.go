package roller

import (
	"cmp"
	"slices"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/outcome"
)

// The kinds of messages.
const (
	countsKind  = "roller.counts"
	holderKind  = "roller.holder"
	verdictKind = "roller.verdict"
)

// counts holds a sender's totals for one rollout since the start of a stream. Totals replace earlier ones of the same
// stream, so that lost, duplicated and reordered messages never count calls twice.
type counts struct {
	Service     string            `cbor:"1,keyasint"`
	Rollout     string            `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"`           // of the sender's process
	Stream      uint64            `cbor:"4,keyasint,omitempty"` // increases each time the process starts new totals
	Sequence    uint64            `cbor:"5,keyasint"`           // starts at one in each stream
	Region      string            `cbor:"6,keyasint"`           // of the callers
	Relayed     bool              `cbor:"7,keyasint,omitempty"`
	Outcomes    []outcome.Outcome `cbor:"8,keyasint"`
}

// holder announces to relays which node holds the lease of a rollout.
type holder struct {
	Service string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Gateway bool   `cbor:"4,keyasint,omitempty"` // the sender is the gateway of its region
}

func init() {
	encoder.Register(countsKind, func() any { return &counts{} })
	encoder.Register(holderKind, func() any { return &holder{} })
}

// totals holds counts by key.
type totals map[outcome.Key]outcome.Outcome

func (t totals) add(o outcome.Outcome) {
	if old, ok := t[o.Key()]; ok {
		o = old.Add(o)
	}
	t[o.Key()] = o
}

func (t totals) sorted() []outcome.Outcome {
	os := make([]outcome.Outcome, 0, len(t))
	for _, o := range t {
		os = append(os, o)
	}
	slices.SortFunc(os, func(a, b outcome.Outcome) int { return compareKeys(a.Key(), b.Key()) })
	return os
}

func compareKeys(a, b outcome.Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Region, b.Region), cmp.Compare(a.Version, b.Version))
}

// senderState holds the latest totals that a receiver has from one sender.
type senderState struct {
	incarnation, stream, sequence uint64
	totals                        totals
}

// update returns the counts that m adds to those already received. If the first message received of a stream is not the
// first one sent, it only sets the starting point, since its counts may have reached another receiver.
func (s *senderState) update(m *counts) []outcome.Outcome {
	newStream := m.Incarnation != s.incarnation || m.Stream != s.stream || s.sequence == 0
	switch {
	case m.Incarnation < s.incarnation, m.Incarnation == s.incarnation && m.Stream < s.stream:
		return nil
	case !newStream && m.Sequence <= s.sequence:
		return nil
	}
	old := s.totals
	if newStream {
		old = nil
	}
	s.incarnation, s.stream, s.sequence = m.Incarnation, m.Stream, m.Sequence
	s.totals = make(totals, len(m.Outcomes))
	var added []outcome.Outcome
	for _, o := range m.Outcomes {
		s.totals[o.Key()] = o
		if d := subtract(o, old[o.Key()]); d.Calls() > 0 && (!newStream || m.Sequence == 1) {
			added = append(added, d)
		}
	}
	return added
}

// subtract returns o minus an earlier total of the same key.
func subtract(o, earlier outcome.Outcome) outcome.Outcome {
	latency, before := o.LatencyHistogram(), earlier.LatencyHistogram()
	for i := range latency {
		latency[i] = increase(latency[i], before[i])
	}
	return outcome.New(o.Key(), increase(o.Calls(), earlier.Calls()), increase(o.Failures(), earlier.Failures()),
		increase(o.Crashes(), earlier.Crashes()), increase(o.Shed(), earlier.Shed()), latency)
}

// increase returns the difference of two totals, or zero if the total has shrunk, which only a faulty sender reports.
func increase(total, before uint64) uint64 { return total - min(total, before) }
