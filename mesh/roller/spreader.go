package roller

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/verdict"
)

const (
	// repeatPeriod is how often relays repeat a verdict until the head shows the rollback, for nodes that started or
	// lost their link in between.
	repeatPeriod = time.Second
	// unseenLimit ends the repetition of a verdict on a rollout that never was under way here, such as one that is
	// long over.
	unseenLimit = time.Minute
)

func init() {
	encoder.Register(verdictKind, func() any { return &verdict.Verdict{} })
}

// spreader carries verdicts to the relays, from there to all nodes, and to the node's own data path.
type spreader struct {
	view  *view
	known map[string]*ruling // by service
}

type ruling struct {
	verdict verdict.Verdict
	since   time.Time
	next    time.Time
	seen    bool // the rollout was under way in this node's configuration
	over    bool // the head shows the rollback
}

func newSpreader(v *view) *spreader { return &spreader{view: v, known: map[string]*ruling{}} }

// on returns the verdict on the rollout, if there is one.
func (s *spreader) on(service, rollout string) (verdict.Verdict, bool) {
	r := s.known[service]
	if r == nil || r.verdict.Rollout() != rollout {
		return verdict.Verdict{}, false
	}
	return r.verdict, true
}

func (s *spreader) step(now time.Time, e event.Event) []effect.Effect {
	switch e.Kind() {
	case event.Received:
		if v, ok := e.Message().Body().(*verdict.Verdict); ok {
			return s.accept(now, *v, e.Peer())
		}
	case event.Local:
		s.settle(now)
	case event.Tick:
		return s.repeat(now)
	}
	return nil
}

// accept obeys a verdict that is new to this node, and at a relay passes it on.
func (s *spreader) accept(now time.Time, v verdict.Verdict, from string) []effect.Effect {
	if _, known := s.on(v.Service(), v.Rollout()); known {
		return nil
	}
	current := s.view.shares[v.Service()]
	if current.Rollout() == v.Rollout() && current.Candidate() == "" {
		return nil
	}
	r := &ruling{verdict: v, since: now, next: now.Add(repeatPeriod)}
	s.known[v.Service()] = r
	s.settle(now)
	fs := []effect.Effect{effect.NewPublish(v), effect.NewRaise(event.NewLocal(event.VersionRejected, v))}
	return append(fs, s.pass(v, from)...)
}

func (s *spreader) pass(v verdict.Verdict, from string) []effect.Effect {
	if !s.view.relay() {
		return nil
	}
	to := slices.Concat(s.view.relays(), s.view.linked())
	slices.Sort(to)
	to = slices.Compact(to)
	to = slices.DeleteFunc(to, func(a string) bool { return a == from || a == s.view.node.Node })
	return s.view.sendAll(to, verdictKind, &v)
}

// settle notes when the head shows the rollback.
func (s *spreader) settle(now time.Time) {
	for service, r := range s.known {
		running := s.view.running(service, r.verdict.Rollout())
		r.seen = r.seen || running
		ended := r.seen && !running
		stray := !r.seen && now.Sub(r.since) > unseenLimit
		r.over = ended || stray || s.view.shares[service].Rollout() == r.verdict.Rollout() && !running
	}
}

func (s *spreader) repeat(now time.Time) []effect.Effect {
	var fs []effect.Effect
	s.settle(now)
	for _, service := range sortedKeys(s.known) {
		r := s.known[service]
		if r.over || now.Before(r.next) {
			continue
		}
		r.next = now.Add(repeatPeriod)
		fs = append(fs, s.pass(r.verdict, "")...)
	}
	return fs
}
