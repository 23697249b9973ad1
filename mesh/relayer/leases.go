package relayer

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/leaser"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/object"
)

const (
	leasesPerDataCentre = 2
	leaseDuration       = 3 * time.Second
	renewPeriod         = time.Second
	// leaseAnswerTimeout is how long a lease request may go unanswered before the lease is read back. The store answers
	// in milliseconds, and the lease's 3 s must cover a lost answer, the read and another renewal.
	leaseAnswerTimeout = 700 * time.Millisecond
	// claimSpacing is the mean time between the attempts of two nodes to claim the same vacant lease.
	claimSpacing = 100 * time.Millisecond
	// defaultNodeCount is the assumed number of nodes in a data centre until a relay has sent the number.
	defaultNodeCount = 8
)

// claim is the state of this node's attempts to claim or renew a lease.
type claim struct {
	claimAt        [leasesPerDataCentre]time.Time // next attempt; zero while the lease is not vacant
	requestPending bool                           // one request about a lease at a time
	requestSentAt  time.Time
	requestSerial  uint64 // answers to earlier requests are ignored
	renewAt        time.Time
	versionToMark  uint64 // pending version to write with the next renewal
	markedVersion  uint64 // pending version that the store has
	nodeCount      int    // in the data centre, as a relay sent it
}

func leaseName(centre string, index int) string { return fmt.Sprintf("relay-%s-%d", centre, index) }

func newLease(c machine.Config, index int) *leaser.Lease {
	return &leaser.Lease{
		Name: leaseName(c.DataCentre, index), Node: c.Node, Incarnation: c.Incarnation, Duration: leaseDuration,
		DataCentre: c.DataCentre, Region: c.Region, Index: index,
	}
}

// claimDelay returns how long the node waits before it tries to claim a vacant lease. The delays of nodeCount nodes are
// spread so that the first attempt is expected after claimSpacing and each following one claimSpacing later.
func claimDelay(lease, node string, nodeCount int) time.Duration {
	fraction := float64(xxhash.Sum64String(lease+" "+node)) / math.MaxUint64
	return time.Duration(fraction * float64(max(nodeCount, 1)) * float64(claimSpacing))
}

func (r *relayer) lease() *leaser.Lease { return r.leases[max(r.leaseIndex, 0)] }

// holdsLease reports whether this node holds a relay lease now.
func (r *relayer) holdsLease() bool { return r.leaseIndex >= 0 && r.lease().Held(r.now) }

func (r *relayer) tickLeases() {
	if r.claim.requestPending {
		if r.now.Sub(r.claim.requestSentAt) > leaseAnswerTimeout {
			r.readBack()
		}
		return
	}
	if r.leaseIndex >= 0 {
		if !r.now.Before(r.claim.renewAt) {
			r.writeLease(r.leaseIndex)
		}
		return
	}
	if !r.leaving && r.finder.leasesSeen {
		r.tickClaims()
	}
}

func (r *relayer) tickClaims() {
	for i := range r.leases {
		if h := r.leaseTable.lease(r.config.DataCentre, i); h != nil && h.holder != "" &&
			r.now.Sub(h.heardAt) < leaseTimeout {
			r.claim.claimAt[i] = time.Time{}
			continue
		}
		if r.claim.claimAt[i].IsZero() {
			r.scheduleClaim(i, r.now)
			continue
		}
		if !r.now.Before(r.claim.claimAt[i]) && !r.claim.requestPending {
			r.tryLease(i)
		}
	}
}

// scheduleClaim sets this node's next attempt to claim the lease to claimDelay after the given time.
func (r *relayer) scheduleClaim(index int, from time.Time) {
	nodeCount := r.claim.nodeCount
	if nodeCount == 0 {
		nodeCount = defaultNodeCount
	}
	r.claim.claimAt[index] = from.Add(claimDelay(r.leases[index].Name, r.config.Node, nodeCount))
	r.wake(r.claim.claimAt[index])
}

// tryLease reads the lease and claims it if that is allowed.
func (r *relayer) tryLease(i int) {
	l := r.leases[i]
	sent := r.leaseRequest(effect.Get, object.New(leaser.Plural, l.Name, "", nil), func(e event.Event) {
		if !r.observeRead(l, e) {
			r.scheduleClaim(i, r.now.Add(r.jitter(lastBackoff)))
			return
		}
		if l.CanClaim(r.now) {
			r.writeLease(i)
			return
		}
		r.mergeRecord(l)
		r.scheduleClaim(i, l.Expiry())
	})
	if !sent {
		r.scheduleClaim(i, r.now.Add(r.jitter(lastBackoff)))
	}
}

// observeRead records the answer to a read of the lease and reports whether the store answered.
func (r *relayer) observeRead(l *leaser.Lease, e event.Event) bool {
	switch {
	case e.Err() == nil:
		l.Observe(r.now, e.Object())
	case fault.KindOf(e.Err()) == fault.NotFound:
		l.Observe(r.now, object.Object{})
	default:
		return false
	}
	return true
}

// mergeRecord merges a record read from the store into the table. The record only shows that its holder is alive if its
// renewal is newer than the one in the table.
func (r *relayer) mergeRecord(l *leaser.Lease) {
	info := leaseInfoOf(l.Record())
	info.DataCentre, info.Region, info.Index = l.DataCentre, l.Region, l.Index
	r.mergeLease(info)
}

func leaseInfoOf(record leaser.Record) leaseInfo {
	return leaseInfo{
		DataCentre: record.DataCentre(), Region: record.Region(), Index: record.Index(), Holder: record.Holder(),
		Epoch: record.Epoch(), Renewed: record.Renewed().UnixMilli(),
	}
}

func (r *relayer) mergeLease(info leaseInfo) {
	if info.Holder == r.config.Node {
		return
	}
	if h := r.leaseTable.lease(info.DataCentre, info.Index); h != nil && h.epoch == info.Epoch &&
		h.renewed >= info.Renewed {
		return
	}
	r.leaseTable.merge(info, r.now)
}

// writeLease claims or renews the lease.
func (r *relayer) writeLease(i int) {
	l := r.leases[i]
	attempt := r.claim.versionToMark
	if !l.IsRecordedHolder() {
		attempt = 0
	}
	kind, o := l.ClaimOrRenew(r.now, attempt)
	r.claim.renewAt = r.now.Add(renewPeriod)
	r.leaseRequest(kind, o, func(e event.Event) {
		switch fault.KindOf(e.Err()) {
		case "":
			l.Observe(r.now, e.Object())
			r.handleConfirmedRecord(i)
		case fault.Unavailable, fault.Throttled:
			if r.leaseIndex < 0 {
				r.scheduleClaim(i, r.now.Add(r.jitter(lastBackoff)))
			}
		default:
			// Another write came first, or the answer to an earlier one was lost: the stored record shows which.
			r.readLease(i)
		}
	})
}

// readBack stops waiting for the answer to a lease request and reads the held lease to see its outcome.
func (r *relayer) readBack() {
	r.claim.requestPending = false
	if r.leaseIndex >= 0 {
		r.readLease(r.leaseIndex)
	}
}

func (r *relayer) readLease(i int) {
	l := r.leases[i]
	r.leaseRequest(effect.Get, object.New(leaser.Plural, l.Name, "", nil), func(e event.Event) {
		if r.observeRead(l, e) {
			r.handleConfirmedRecord(i)
		}
	})
}

// handleConfirmedRecord acts on the lease's record after the store has returned it.
func (r *relayer) handleConfirmedRecord(i int) {
	l := r.leases[i]
	switch {
	case l.IsRecordedHolder() && r.leaseIndex < 0:
		r.startRelay(i)
	case l.IsRecordedHolder():
		r.handleRenewed(i)
	case r.leaseIndex == i && l.Record().Holder() == "" && !r.leaving:
		r.writeLease(i)
	case r.leaseIndex == i && !l.CanClaim(r.now):
		r.mergeRecord(l)
		r.stopRelay()
	case r.leaseIndex == i:
		// The store was unreachable for longer than the lease, or this node was paused, and no other node claimed it.
		r.writeLease(i)
	default:
		r.mergeRecord(l)
		r.scheduleClaim(i, l.Expiry())
	}
}

func (r *relayer) leaseRequest(k effect.Kind, o object.Object, done func(event.Event)) bool {
	r.claim.requestSerial++
	serial := r.claim.requestSerial
	sent := r.request(k, o, true, func(e event.Event) {
		if r.claim.requestSerial != serial {
			return
		}
		r.claim.requestPending = false
		done(e)
	})
	r.claim.requestPending = sent
	r.claim.requestSentAt = r.now
	return sent
}

// startRelay makes this node a relay after it has claimed the lease.
func (r *relayer) startRelay(i int) {
	r.leaseIndex = i
	r.fanoutRole, r.fanout = fanoutRole{}, fanout{}
	r.claim.claimAt = [leasesPerDataCentre]time.Time{}
	r.claim.renewAt = r.now.Add(renewPeriod)
	r.claim.versionToMark, r.claim.markedVersion = 0, 0
	r.store.budget.setLimits(relayRate, relayBurst)
	r.distribution.suspect(r.leases[i].AbandonedVersion())
	r.distribution.addOwnState(r.client.state, r.config.Service)
	r.finder.nextListAt = r.now
	r.watch = watch{startedAt: r.now}
	r.mergeOwnLease()
	r.updateRoster()
	r.tickFinder()
	r.tickWatch()
	r.sendStatuses()
}

// stopRelay makes this node a client again.
func (r *relayer) stopRelay() {
	r.leaseIndex = -1
	r.claim.versionToMark, r.claim.markedVersion = 0, 0
	r.store.budget.setLimits(nodeRate, nodeBurst)
	r.stopWatch()
	r.server = newServer()
	r.reports = reports{}
	r.client.clearRelays()
	r.updateRoster()
}

// handleRenewed acts on the confirmation of a renewal.
func (r *relayer) handleRenewed(i int) {
	r.claim.markedVersion = r.leases[i].Record().PendingVersion()
	r.mergeOwnLease()
	r.tickDistribution()
	r.sendHeartbeats()
	r.updateRoster()
}

// mergeOwnLease merges this node's own lease into the table.
func (r *relayer) mergeOwnLease() {
	l := r.lease()
	info := leaseInfoOf(l.Record())
	info.DataCentre, info.Region, info.Index, info.Holder = l.DataCentre, l.Region, l.Index, r.config.Node
	r.leaseTable.merge(info, r.now)
}

// leave releases the lease, so that another node can claim it at once.
func (r *relayer) leave() {
	r.leaving = true
	if r.leaseIndex < 0 {
		return
	}
	l := r.lease()
	kind, o := l.Release(r.now)
	index := r.leaseIndex
	r.leaseRequest(kind, o, func(e event.Event) {
		if e.Err() == nil {
			l.Observe(r.now, e.Object())
		}
		r.leaseTable.merge(leaseInfo{
			DataCentre: l.DataCentre, Region: l.Region, Index: index, Epoch: l.Record().Epoch(), Renewed: r.now.UnixMilli(),
		}, r.now)
		r.sendHeartbeats()
		r.sendStatuses()
		r.stopRelay()
	})
}
