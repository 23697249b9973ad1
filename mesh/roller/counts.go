package roller

import (
	"cmp"
	"slices"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/outcome"
)

// Kinds of messages.
const (
	countsKind  = "roller.counts"
	holderKind  = "roller.holder"
	verdictKind = "roller.verdict"
)

// counts is a sender's total of one rollout since its stream began. A total replaces an earlier one of the same
// stream, so lost, repeated and reordered messages never count twice.
type counts struct {
	Service     string            `cbor:"1,keyasint"`
	Rollout     string            `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"`           // of the sender's process
	Stream      uint64            `cbor:"4,keyasint,omitempty"` // higher for each later total of the process
	Sequence    uint64            `cbor:"5,keyasint"`           // starts at one in each stream
	Region      string            `cbor:"6,keyasint"`           // of the callers
	Relayed     bool              `cbor:"7,keyasint,omitempty"`
	Outcomes    []outcome.Outcome `cbor:"8,keyasint"`
}

// holder tells relays who drives a rollout.
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

// totals are counts by key.
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

// stream is what a receiver knows of one sender's totals.
type stream struct {
	incarnation, stream, sequence uint64
	totals                        totals
}

// take returns what m adds to the stream. A stream that is met in its middle only sets the starting point, since its
// earlier counts may have reached another receiver.
func (s *stream) take(m *counts) []outcome.Outcome {
	fresh := m.Incarnation != s.incarnation || m.Stream != s.stream || s.sequence == 0
	switch {
	case m.Incarnation < s.incarnation, m.Incarnation == s.incarnation && m.Stream < s.stream:
		return nil
	case !fresh && m.Sequence <= s.sequence:
		return nil
	}
	old := s.totals
	if fresh {
		old = nil
	}
	s.incarnation, s.stream, s.sequence = m.Incarnation, m.Stream, m.Sequence
	s.totals = make(totals, len(m.Outcomes))
	var added []outcome.Outcome
	for _, o := range m.Outcomes {
		s.totals[o.Key()] = o
		if d := minus(o, old[o.Key()]); d.Calls() > 0 && (!fresh || m.Sequence == 1) {
			added = append(added, d)
		}
	}
	return added
}

// minus returns o without the counts of an earlier total of the same key.
func minus(o, earlier outcome.Outcome) outcome.Outcome {
	latency, before := o.LatencyHistogram(), earlier.LatencyHistogram()
	for i := range latency {
		latency[i] = grown(latency[i], before[i])
	}
	return outcome.New(o.Key(), grown(o.Calls(), earlier.Calls()), grown(o.Failures(), earlier.Failures()),
		grown(o.Crashes(), earlier.Crashes()), grown(o.Shed(), earlier.Shed()), latency)
}

// grown returns the difference of two totals, or zero for a total that shrank, which only a faulty sender reports.
func grown(total, before uint64) uint64 { return total - min(total, before) }
