package roller

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/outcome"
)

// reporter sends the counts of this node's own calls to its relay.
type reporter struct {
	view    *view
	relay   string
	stream  uint64
	reports map[string]*report // by service
}

type report struct {
	rollout  string
	stream   uint64
	sequence uint64
	totals   totals
}

func newReporter(v *view) *reporter { return &reporter{view: v, reports: map[string]*report{}} }

func (r *reporter) step(_ time.Time, e event.Event) []effect.Effect {
	os, ok := e.Value().([]outcome.Outcome)
	if !ok {
		return nil
	}
	r.chooseRelay()
	changed := map[string]bool{}
	for _, o := range os {
		if r.addOutcome(o) {
			changed[o.Key().Service] = true
		}
	}
	if r.relay == "" {
		return nil
	}
	var fs []effect.Effect
	for _, service := range sortedKeys(r.reports) {
		if !changed[service] {
			continue
		}
		p := r.reports[service]
		p.sequence++
		fs = append(fs, r.view.send(r.relay, countsKind, &counts{
			Service: service, Rollout: p.rollout, Incarnation: r.view.node.Incarnation, Stream: p.stream,
			Sequence: p.sequence, Region: r.view.node.Region, Outcomes: p.totals.sorted(),
		}))
	}
	return fs
}

// chooseRelay selects the first linked relay. After a change of the relay all totals restart from zero in new streams,
// since the new relay cannot tell which calls the previous one has already forwarded.
func (r *reporter) chooseRelay() {
	relays := r.view.roster.Relays()
	relay := ""
	for _, a := range relays {
		if r.view.peers[a] || a == r.view.node.Node {
			relay = a
			break
		}
	}
	if relay == "" && len(relays) > 0 {
		relay = relays[0]
	}
	if relay == r.relay {
		return
	}
	r.relay = relay
	r.reports = map[string]*report{}
}

func (r *reporter) addOutcome(o outcome.Outcome) bool {
	k := o.Key()
	s, ok := r.view.activeShare(k.Service)
	if !ok {
		delete(r.reports, k.Service)
		return false
	}
	if k.Version != s.Stable() && k.Version != s.Candidate() {
		return false
	}
	p := r.reports[k.Service]
	if p == nil || p.rollout != s.Rollout() {
		r.stream++
		p = &report{rollout: s.Rollout(), stream: r.stream, totals: totals{}}
		r.reports[k.Service] = p
	}
	p.totals.add(o)
	return true
}
