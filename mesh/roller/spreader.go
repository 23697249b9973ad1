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
	// resendPeriod is how often relays resend a verdict until the head contains the rollback, for nodes that started or
	// lost their link in the meantime.
	resendPeriod = time.Second
	// unseenTimeout ends the resending of a verdict on a rollout that was never active in this node's configuration, such
	// as one that ended long ago.
	unseenTimeout = time.Minute
)

func init() {
	encoder.Register(verdictKind, func() any { return &verdict.Verdict{} })
}

// spreader sends verdicts to the relays, from there to all nodes, and to the node's own data path.
type spreader struct {
	view     *view
	verdicts map[string]*spreadVerdict // by service
}

type spreadVerdict struct {
	verdict      verdict.Verdict
	receivedAt   time.Time
	nextResendAt time.Time
	wasActive    bool // the rollout was active in this node's configuration
	ended        bool // the head contains the rollback, or unseenTimeout has passed
}

func newSpreader(v *view) *spreader { return &spreader{view: v, verdicts: map[string]*spreadVerdict{}} }

// verdictOn returns the verdict on the rollout, if there is one.
func (s *spreader) verdictOn(service, rollout string) (verdict.Verdict, bool) {
	r := s.verdicts[service]
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
		s.updateEnded(now)
	case event.Tick:
		return s.resend(now)
	}
	return nil
}

// accept applies a verdict that is new to this node and, at a relay, forwards it.
func (s *spreader) accept(now time.Time, v verdict.Verdict, from string) []effect.Effect {
	if _, known := s.verdictOn(v.Service(), v.Rollout()); known {
		return nil
	}
	current := s.view.shares[v.Service()]
	if current.Rollout() == v.Rollout() && current.Candidate() == "" {
		return nil
	}
	r := &spreadVerdict{verdict: v, receivedAt: now, nextResendAt: now.Add(resendPeriod)}
	s.verdicts[v.Service()] = r
	s.updateEnded(now)
	fs := []effect.Effect{effect.NewPublish(v), effect.NewRaise(event.NewLocal(event.VersionRejected, v))}
	return append(fs, s.forward(v, from)...)
}

func (s *spreader) forward(v verdict.Verdict, from string) []effect.Effect {
	if !s.view.isRelay() {
		return nil
	}
	to := slices.Concat(s.view.otherRelays(), s.view.linkedPeers())
	slices.Sort(to)
	to = slices.Compact(to)
	to = slices.DeleteFunc(to, func(a string) bool { return a == from || a == s.view.node.Node })
	return s.view.sendAll(to, verdictKind, &v)
}

// updateEnded records which verdicts need not be resent any more.
func (s *spreader) updateEnded(now time.Time) {
	for service, r := range s.verdicts {
		active := s.view.isActive(service, r.verdict.Rollout())
		r.wasActive = r.wasActive || active
		ended := r.wasActive && !active
		neverActive := !r.wasActive && now.Sub(r.receivedAt) > unseenTimeout
		r.ended = ended || neverActive || s.view.shares[service].Rollout() == r.verdict.Rollout() && !active
	}
}

func (s *spreader) resend(now time.Time) []effect.Effect {
	var fs []effect.Effect
	s.updateEnded(now)
	for _, service := range sortedKeys(s.verdicts) {
		r := s.verdicts[service]
		if r.ended || now.Before(r.nextResendAt) {
			continue
		}
		r.nextResendAt = now.Add(resendPeriod)
		fs = append(fs, s.forward(r.verdict, "")...)
	}
	return fs
}
