package relayer

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/head"
)

const (
	// trialPeriod is how long a version runs on the relays' own nodes before other nodes get it.
	trialPeriod = 300 * time.Millisecond
	// markTimeout is how long a relay waits until the store has the pending version in its lease; an unreachable store
	// must not stop the distribution of an accepted version.
	markTimeout = 300 * time.Millisecond
	// historyLimit is the number of states that a relay keeps as bases of deltas.
	historyLimit = 16
)

// distribution is the state of a relay's work to get versions from the store and other relays and to distribute them.
type distribution struct {
	head            head.Head // newest one read from the store
	headConfirmedAt time.Time // when the last answered read of the head was sent
	latestState     differ.State
	history         []differ.State // oldest first, including latestState
	trials          []trial
	definitions     map[string]differ.Definition
	pendingFetches  map[string]bool
	refusedVersion  uint64
	refusedReason   string
	invalidVersions map[uint64]bool // versions with invalid content, which no node applies
	suspectVersions map[uint64]bool // versions that a relay was about to apply when it stopped
	withheldState   differ.State

	confirmedVersion uint64
	peers            map[string]*peer
	nextStatusAt     time.Time
	nextTableAt      time.Time
	nextPullAt       time.Time
	laggingSince     time.Time
}

// trial is a version that runs on the relay's own node before it is confirmed.
type trial struct {
	state        differ.State
	markDeadline time.Time // for the pending version in the lease
	appliedAt    time.Time
}

func newDistribution() distribution {
	return distribution{
		definitions: map[string]differ.Definition{}, pendingFetches: map[string]bool{}, suspectVersions: map[uint64]bool{},
		invalidVersions: map[uint64]bool{},
		peers:           map[string]*peer{},
	}
}

// suspect marks a version to be withheld until another relay confirms it.
func (s *distribution) suspect(version uint64) {
	if version > 0 {
		s.suspectVersions[version] = true
	}
}

// addOwnState adds the definitions of the node's own state, so that a new relay reads fewer from the store. A state
// with all services is served at once, because this relay may withhold the newest version.
func (s *distribution) addOwnState(state differ.State, ownService string) {
	for _, p := range state.Definitions() {
		s.definitions[p.Digest()] = p
	}
	if state.Version() > s.latestState.Version() && state.NeedsAllServices(ownService) {
		s.latestState, s.confirmedVersion = state, state.Version()
		s.history = append(s.history, state)
	}
}

// stateAt returns the state of the version and whether the history has it.
func (s *distribution) stateAt(version uint64) (differ.State, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Version() == version {
			return s.history[i], true
		}
	}
	return differ.State{}, false
}

// current returns the confirmed state.
func (s *distribution) current() differ.State {
	state, _ := s.stateAt(s.confirmedVersion)
	return state
}

// refuse records that the content of a version is invalid; nothing of it is distributed.
func (r *relayer) refuse(version uint64, reason string) {
	r.distribution.invalidVersions[version] = true
	if r.versionFloor.known && r.versionFloor.value == version {
		r.versionFloor.value = r.distribution.newestValid(version)
		r.publish()
	}
	if version > r.distribution.refusedVersion {
		r.recordRefused(version, reason)
		r.sendStatuses()
	}
}

func (r *relayer) recordRefused(version uint64, reason string) {
	if version <= r.distribution.refusedVersion {
		return
	}
	r.distribution.refusedVersion, r.distribution.refusedReason = version, reason
	r.client.refusedVersion, r.client.refusedReason = version, reason
	clear(r.client.hasSubscription)
}

// newestValid returns the highest version up to the given one that is not known to be invalid.
func (s *distribution) newestValid(version uint64) uint64 {
	for s.invalidVersions[version] {
		version--
	}
	return version
}

// hasHead reports whether the relay has, withholds or refuses the version of the newest head.
func (s *distribution) hasHead() bool {
	v := s.head.Version()
	return v <= s.latestState.Version() || s.invalidVersions[v] || s.withheldState.Version() == v
}

// accept adds a whole, checked state from the store or another relay; a suspect version is withheld.
func (r *relayer) accept(state differ.State) {
	s := &r.distribution
	if state.Version() <= s.latestState.Version() {
		return
	}
	if s.suspectVersions[state.Version()] && !r.confirmedElsewhere(state.Version()) {
		s.withheldState = state
		r.recordRefused(state.Version(), fmt.Sprintf("a relay stopped while it applied version %d", state.Version()))
		return
	}
	s.latestState = state
	s.history = append(s.history, state)
	if len(s.history) > historyLimit {
		s.history = s.history[len(s.history)-historyLimit:]
	}
	s.laggingSince = time.Time{}
	r.pushRelays()
	if r.confirmedElsewhere(state.Version()) || state.Version() <= r.client.state.Version() {
		r.applyOwn(state)
		r.confirm(state.Version())
		return
	}
	r.startTrial(state)
}

// startTrial starts to write the version to the lease as pending; tickDistribution then applies it on this node, and
// confirms it after trialPeriod.
func (r *relayer) startTrial(state differ.State) {
	r.distribution.trials = append(r.distribution.trials, trial{state: state, markDeadline: r.now.Add(markTimeout)})
	r.wake(r.now.Add(markTimeout))
	r.claim.versionToMark = state.Version()
	r.tickDistribution()
}

func (r *relayer) tickDistribution() {
	s := &r.distribution
	if r.leaseIndex < 0 {
		return
	}
	r.assemble()
	if r.claim.versionToMark > r.claim.markedVersion && !r.claim.requestPending && r.holdsLease() && !r.leaving {
		r.writeLease(r.leaseIndex)
	}
	var ready uint64
	for i := range s.trials {
		t := &s.trials[i]
		marked := r.claim.markedVersion >= t.state.Version()
		if t.appliedAt.IsZero() && (marked || r.store.unreachable || !r.now.Before(t.markDeadline)) {
			t.appliedAt = r.now
			r.applyOwn(t.state)
			r.wake(r.now.Add(trialPeriod))
		}
		if !t.appliedAt.IsZero() && r.now.Sub(t.appliedAt) >= trialPeriod {
			ready = t.state.Version()
		}
	}
	if ready > 0 {
		r.confirm(ready)
	}
}

// confirm distributes a version to all nodes.
func (r *relayer) confirm(version uint64) {
	s := &r.distribution
	if version <= s.confirmedVersion {
		return
	}
	if state, ok := s.stateAt(version); ok {
		r.applyOwn(state)
	}
	s.confirmedVersion = version
	remaining := s.trials[:0]
	for _, t := range s.trials {
		if t.state.Version() > version {
			remaining = append(remaining, t)
		}
	}
	s.trials = remaining
	if r.claim.versionToMark <= version {
		r.claim.versionToMark = 0
	}
	for v := range s.suspectVersions {
		if v <= version {
			delete(s.suspectVersions, v)
		}
	}
	r.pushClients()
	r.sendStatuses()
}
