package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/gauge"
)

// peer holds the state of another node as this node sees it. The status messages and the heartbeats of one incarnation
// share one sequence of numbers.
type peer struct {
	address         string
	linked          bool         // there is a connection to it, over which messages can be sent
	linkChangedAt   time.Time    // when linked last changed
	lastHeardAt     time.Time    // when its last status message or heartbeat arrived
	statusSentAt    time.Time    // when this node last sent its status to the peer
	status          *status      // the newest received, or nil
	storeFailedAt   time.Time    // last failed call to the store, or zero
	startedAt       time.Time    // of its process, or later, as messages take time
	relayedSequence uint64       // sequence number of its last heartbeat that another node relayed
	withdrawn       withdrawal   // the upstream that left last for good, with all its starts until then
	confirmed       revisions    // what it said it has, beside its status
	ticksAhead      int          // number of ticks in a row at which the peer had newer stored objects than this node
	gauge           *gauge.Gauge // load of its endpoint's current instance
	gaugeInstance   string       // the instance that gauge measures
	gaugeStart      uint64       // the start of that instance's process
}

// reachable reports whether the peer's endpoint can be called: the peer was heard from recently, and is linked or was
// until recently. interval is the longest time between the peer's heartbeats.
func (p *peer) reachable(now time.Time, interval time.Duration) bool {
	if p.status == nil || now.Sub(p.lastHeardAt) > staleAfter(interval) {
		return false
	}
	return p.linked || now.Sub(p.linkChangedAt) < unlinkedGrace
}

// staleAfter returns the silence after which a peer counts as unreachable whose heartbeats are sent at the interval.
func staleAfter(interval time.Duration) time.Duration {
	return time.Duration(heartbeatStaleIntervals * float64(interval))
}

// candidate returns the peer as a candidate for election; the peer must have a status.
func (p *peer) candidate(now time.Time, interval time.Duration) elector.Candidate {
	c := elector.Candidate{
		Address: p.address, Region: p.status.Region, Incarnation: p.status.Incarnation,
		StoreReachable: p.status.StoreReachable, StoreFailedAt: p.storeFailedAt,
		StoreLatency: time.Duration(p.status.StoreLatency) * time.Millisecond, Alive: p.reachable(now, interval),
	}
	c.Leaving, c.Age, c.LinkRate = p.status.Leaving, now.Sub(p.startedAt), p.status.LinkRate
	if p.status.Leaving {
		return rankedLast(c, now)
	}
	return c
}

// rankedLast returns the candidate of a leaving node. It counts as one whose calls to the store fail now, so that it ranks
// behind all others and is not elected leader.
func rankedLast(c elector.Candidate, now time.Time) elector.Candidate {
	c.StoreReachable, c.StoreFailedAt = false, now
	return c
}

// updateStatus stores u unless the stored status is as new or newer. It reports whether the endpoint or the leaving
// state changed, which is also true for the first status, and whether u was stored.
func (p *peer) updateStatus(u *status, now time.Time) (changed, stored bool) {
	old := p.status
	if old != nil && !p.precedes(u, now) {
		return false, false
	}
	if old != nil && u.Incarnation != old.Incarnation {
		p.relayedSequence, p.confirmed = 0, revisions{}
	}
	if startedAt := now.Add(-time.Duration(u.Age) * time.Millisecond); old == nil || old.Incarnation != u.Incarnation || startedAt.Before(p.startedAt) {
		p.startedAt = startedAt
	}
	p.keepWithdrawal(u)
	p.status, p.lastHeardAt = u, now
	p.storeFailedAt = time.Time{}
	if u.StoreFailureAge >= 0 {
		p.storeFailedAt = now.Add(-time.Duration(u.StoreFailureAge) * time.Millisecond)
	}
	if e := u.Endpoint; e != nil && (p.gauge == nil || p.gaugeInstance != e.Instance() || p.gaugeStart != e.Incarnation()) {
		p.gauge, p.gaugeInstance, p.gaugeStart = gauge.New(now), e.Instance(), e.Incarnation()
	}
	// The ratio is per mille; 0 means that the status contains no measured load.
	if p.gauge != nil && u.ServiceTimeRatio > 0 {
		p.gauge.RecordLoad(u.Outstanding, now)
		p.gauge.SetServiceTimeRatio(float64(u.ServiceTimeRatio) / 1000)
		p.gauge.UpdateSteadyRatio(now)
	}
	switch {
	case old == nil, (old.Endpoint == nil) != (u.Endpoint == nil), old.Leaving != u.Leaving:
		return true, true
	case u.Endpoint == nil:
		return false, true
	}
	return *old.Endpoint != *u.Endpoint, true
}

// precedes reports whether the stored status is older than u.
//
// The incarnation is the time of a process's start by its host's clock, which may have been put back between two starts. A
// process that has started since the stored one was last heard is newer, whatever its incarnation. If messages of the
// ended process arrive after that start, the next one is taken once nothing more has been heard of the ended one.
func (p *peer) precedes(u *status, now time.Time) bool {
	switch {
	case u.Incarnation > p.status.Incarnation:
		return true
	case u.Incarnation == p.status.Incarnation:
		return u.Sequence > p.status.Sequence
	}
	silence := now.Sub(p.lastHeardAt)
	return silence >= time.Duration(u.Age)*time.Millisecond || silence > staleAfter(remoteIntervalFactor*heartbeatInterval)
}

// keepWithdrawal records that the peer's upstream leaves for good, and corrects a status that says otherwise: the peer may
// have restarted since and been told by a delayed announcement.
func (p *peer) keepWithdrawal(u *status) {
	e := u.Endpoint
	switch {
	case e == nil:
	case e.Withdrawn():
		p.withdrawn = withdrawal{Instance: e.Instance(), Start: e.Incarnation()}
	case e.Instance() == p.withdrawn.Instance && e.Incarnation() <= p.withdrawn.Start:
		corrected := e.WithState(endpoint.Leaving)
		u.Endpoint = &corrected
	}
}
