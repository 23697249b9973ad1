package relayer

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/head"
)

const (
	// trialPeriod is how long a version runs on the relays' own nodes before the other nodes get it.
	trialPeriod = 300 * time.Millisecond
	// markPatience is how long a relay waits for the store to take its attempt mark; a store that is out must not
	// stop the distribution of an accepted version.
	markPatience = 300 * time.Millisecond
	// historyLimit is the number of past states that a relay keeps as bases of deltas.
	historyLimit = 16
)

// supply is what a relay has to distribute.
type supply struct {
	head     head.Head // newest known from the store
	heard    time.Time // when the store last confirmed the head
	latest   differ.State
	history  []differ.State // oldest first, with latest
	trials   []trial
	fetched  map[string]differ.Definition
	fetching map[string]bool
	refused  uint64
	reason   string
	refusals map[uint64]bool // versions whose content is wrong, which no node applies
	suspects map[uint64]bool // versions that a stopped relay was about to apply
	withheld differ.State

	confirmed uint64
	peers     map[string]*peer
	syncAt    time.Time
	tableAt   time.Time
	pullAt    time.Time
	lagging   time.Time
}

// trial is a version that runs on this node before it is confirmed.
type trial struct {
	state    differ.State
	deadline time.Time // for the attempt mark
	applied  time.Time
}

func newSupply() supply {
	return supply{
		fetched: map[string]differ.Definition{}, fetching: map[string]bool{}, suspects: map[uint64]bool{},
		refusals: map[uint64]bool{},
		peers:    map[string]*peer{},
	}
}

// suspect withholds a version until another relay confirms it.
func (s *supply) suspect(version uint64) {
	if version > 0 {
		s.suspects[version] = true
	}
}

// seed makes the parts of the node's own state available, so that a new relay reads fewer from the store. A state with
// all services is served at once: the newest version may be one that this relay withholds.
func (s *supply) seed(state differ.State, own string) {
	for _, p := range state.Definitions() {
		s.fetched[p.Digest()] = p
	}
	if state.Version() > s.latest.Version() && state.NeedsAllServices(own) {
		s.latest, s.confirmed = state, state.Version()
		s.history = append(s.history, state)
	}
}

// at returns the state of the version, if the relay still has it.
func (s *supply) at(version uint64) (differ.State, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Version() == version {
			return s.history[i], true
		}
	}
	return differ.State{}, false
}

// current returns the confirmed state.
func (s *supply) current() differ.State {
	state, _ := s.at(s.confirmed)
	return state
}

// refuse notes that the content of a version fails its check; no part of it is distributed.
func (r *relayer) refuse(version uint64, reason string) {
	r.supply.refusals[version] = true
	if r.floor.known && r.floor.value == version {
		r.floor.value = r.supply.below(version)
		r.publish()
	}
	if version > r.supply.refused {
		r.noteRefused(version, reason)
		r.syncAll()
	}
}

func (r *relayer) noteRefused(version uint64, reason string) {
	if version <= r.supply.refused {
		return
	}
	r.supply.refused, r.supply.reason = version, reason
	r.client.refused, r.client.reason = version, reason
	clear(r.client.told)
}

// below returns the highest version up to the given one whose content is not known to be wrong.
func (s *supply) below(version uint64) uint64 {
	for s.refusals[version] {
		version--
	}
	return version
}

// settled reports whether the relay has or refuses the newest head.
func (s *supply) settled() bool {
	v := s.head.Version()
	return v <= s.latest.Version() || s.refusals[v] || s.withheld.Version() == v
}

// accept takes a whole, checked state from the store or another relay.
func (r *relayer) accept(state differ.State) {
	s := &r.supply
	if state.Version() <= s.latest.Version() {
		return
	}
	if s.suspects[state.Version()] && !r.confirmedElsewhere(state.Version()) {
		s.withheld = state
		r.noteRefused(state.Version(), fmt.Sprintf("a relay stopped while it applied version %d", state.Version()))
		return
	}
	s.latest = state
	s.history = append(s.history, state)
	if len(s.history) > historyLimit {
		s.history = s.history[len(s.history)-historyLimit:]
	}
	s.lagging = time.Time{}
	r.pushRelays()
	if r.confirmedElsewhere(state.Version()) || state.Version() <= r.client.state.Version() {
		r.applyOwn(state)
		r.confirm(state.Version())
		return
	}
	r.try(state)
}

// try marks the version in the lease, applies it to this node, and confirms it after trialPeriod.
func (r *relayer) try(state differ.State) {
	r.supply.trials = append(r.supply.trials, trial{state: state, deadline: r.now.Add(markPatience)})
	r.wake(r.now.Add(markPatience))
	r.claim.attempt = state.Version()
	r.tickSupply()
}

func (r *relayer) tickSupply() {
	s := &r.supply
	if r.seat < 0 {
		return
	}
	r.assemble()
	if r.claim.attempt > r.claim.marked && !r.claim.busy && r.held() && !r.leaving {
		r.writeLease(r.seat)
	}
	var ready uint64
	for i := range s.trials {
		t := &s.trials[i]
		marked := r.claim.marked >= t.state.Version()
		if t.applied.IsZero() && (marked || r.store.out || !r.now.Before(t.deadline)) {
			t.applied = r.now
			r.applyOwn(t.state)
			r.wake(r.now.Add(trialPeriod))
		}
		if !t.applied.IsZero() && r.now.Sub(t.applied) >= trialPeriod {
			ready = t.state.Version()
		}
	}
	if ready > 0 {
		r.confirm(ready)
	}
}

// confirm releases a version to all nodes.
func (r *relayer) confirm(version uint64) {
	s := &r.supply
	if version <= s.confirmed {
		return
	}
	if state, ok := s.at(version); ok {
		r.applyOwn(state)
	}
	s.confirmed = version
	left := s.trials[:0]
	for _, t := range s.trials {
		if t.state.Version() > version {
			left = append(left, t)
		}
	}
	s.trials = left
	if r.claim.attempt <= version {
		r.claim.attempt = 0
	}
	for v := range s.suspects {
		if v <= version {
			delete(s.suspects, v)
		}
	}
	r.pushClients()
	r.syncAll()
}
