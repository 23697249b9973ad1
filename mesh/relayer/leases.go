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
	seatCount     = 2
	leaseDuration = 3 * time.Second
	renewPeriod   = time.Second
	// answerPatience is how long a renewal may go unanswered before the lease is read back. The store answers in
	// milliseconds, and 3 s must cover a lost answer, the read and another renewal.
	answerPatience = 700 * time.Millisecond
	// claimSpacing is the mean time between two nodes that try for the same vacant lease.
	claimSpacing = 100 * time.Millisecond
	// defaultFleet is the assumed number of nodes in a data centre until a relay says it.
	defaultFleet = 8
)

// claim is the state of this node's attempts to get or keep a lease.
type claim struct {
	due     [seatCount]time.Time // when this node tries for the lease; zero while it is not vacant
	busy    bool                 // a request about a lease is under way
	sent    time.Time            // when that request was sent
	serial  uint64               // of the request; answers to earlier ones are ignored
	renewAt time.Time
	attempt uint64 // version to mark with the next renewal
	marked  uint64 // version marked in the store
	fleet   int    // nodes in the data centre
}

func leaseName(centre string, index int) string { return fmt.Sprintf("relay-%s-%d", centre, index) }

func newLease(c machine.Config, index int) *leaser.Lease {
	return &leaser.Lease{
		Name: leaseName(c.DataCentre, index), Node: c.Node, Incarnation: c.Incarnation, Duration: leaseDuration,
		DataCentre: c.DataCentre, Region: c.Region, Index: index,
	}
}

// rank returns how long the node waits before it tries for a vacant lease. Over fleet nodes the waits are spread so
// that the first expected attempt comes after claimSpacing and the following ones are as far apart.
func rank(lease, node string, fleet int) time.Duration {
	share := float64(xxhash.Sum64String(lease+" "+node)) / math.MaxUint64
	return time.Duration(share * float64(max(fleet, 1)) * float64(claimSpacing))
}

func (r *relayer) lease() *leaser.Lease { return r.leases[max(r.seat, 0)] }

// held reports whether this node holds a relay lease now.
func (r *relayer) held() bool { return r.seat >= 0 && r.lease().Held(r.now) }

func (r *relayer) tickLeases() {
	if r.claim.busy {
		if r.now.Sub(r.claim.sent) > answerPatience {
			r.readBack()
		}
		return
	}
	if r.seat >= 0 {
		if !r.now.Before(r.claim.renewAt) {
			r.writeLease(r.seat)
		}
		return
	}
	if !r.leaving && r.finder.found {
		r.tickClaims()
	}
}

func (r *relayer) tickClaims() {
	for i := range r.leases {
		if h := r.table.at(r.config.DataCentre, i); h != nil && h.holder != "" && r.now.Sub(h.heard) < seatTimeout {
			r.claim.due[i] = time.Time{}
			continue
		}
		if r.claim.due[i].IsZero() {
			r.postpone(i, r.now)
			continue
		}
		if !r.now.Before(r.claim.due[i]) && !r.claim.busy {
			r.tryLease(i)
		}
	}
}

// postpone sets this node's next attempt at the lease to its place in the order that starts at the given time.
func (r *relayer) postpone(index int, from time.Time) {
	fleet := r.claim.fleet
	if fleet == 0 {
		fleet = defaultFleet
	}
	r.claim.due[index] = from.Add(rank(r.leases[index].Name, r.config.Node, fleet))
	r.wake(r.claim.due[index])
}

// tryLease reads the lease and claims it if it is vacant.
func (r *relayer) tryLease(i int) {
	l := r.leases[i]
	sent := r.leaseRequest(effect.Get, object.New(leaser.Plural, l.Name, "", nil), func(e event.Event) {
		if !r.observe(l, e) {
			r.postpone(i, r.now.Add(r.jitter(lastBackoff)))
			return
		}
		if l.CanClaim(r.now) {
			r.writeLease(i)
			return
		}
		r.noteRecord(l)
		r.postpone(i, l.Expiry())
	})
	if !sent {
		r.postpone(i, r.now.Add(r.jitter(lastBackoff)))
	}
}

// observe takes the answer to a read of the lease and reports whether the store answered.
func (r *relayer) observe(l *leaser.Lease, e event.Event) bool {
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

// noteRecord puts a record read from the store into the table. The record only shows that its holder was alive if it
// was renewed since the table last heard of it.
func (r *relayer) noteRecord(l *leaser.Lease) {
	s := seatOf(l.Record())
	s.DataCentre, s.Region, s.Index = l.DataCentre, l.Region, l.Index
	r.noteSeat(s)
}

func seatOf(c leaser.Record) seat {
	return seat{
		DataCentre: c.DataCentre(), Region: c.Region(), Index: c.Index(), Holder: c.Holder(), Epoch: c.Epoch(),
		Renewed: c.Renewed().UnixMilli(),
	}
}

func (r *relayer) noteSeat(s seat) {
	if s.Holder == r.config.Node {
		return
	}
	if h := r.table.at(s.DataCentre, s.Index); h != nil && h.epoch == s.Epoch && h.renewed >= s.Renewed {
		return
	}
	r.table.merge(s, r.now)
}

// writeLease claims the lease or renews it.
func (r *relayer) writeLease(i int) {
	l := r.leases[i]
	attempt := r.claim.attempt
	if !l.IsRecordedHolder() {
		attempt = 0
	}
	kind, o := l.ClaimOrRenew(r.now, attempt)
	r.claim.renewAt = r.now.Add(renewPeriod)
	r.leaseRequest(kind, o, func(e event.Event) {
		switch fault.KindOf(e.Err()) {
		case "":
			l.Observe(r.now, e.Object())
			r.settle(i)
		case fault.Unavailable, fault.Throttled:
			if r.seat < 0 {
				r.postpone(i, r.now.Add(r.jitter(lastBackoff)))
			}
		default:
			// Another write came first, or the answer to this one was lost: the record itself says which.
			r.readLease(i)
		}
	})
}

// readBack gives up waiting for the answer to a lease request and reads what became of it.
func (r *relayer) readBack() {
	r.claim.busy = false
	if r.seat >= 0 {
		r.readLease(r.seat)
	}
}

func (r *relayer) readLease(i int) {
	l := r.leases[i]
	r.leaseRequest(effect.Get, object.New(leaser.Plural, l.Name, "", nil), func(e event.Event) {
		if r.observe(l, e) {
			r.settle(i)
		}
	})
}

// settle acts on a record of the lease that the store has just confirmed.
func (r *relayer) settle(i int) {
	l := r.leases[i]
	switch {
	case l.IsRecordedHolder() && r.seat < 0:
		r.gain(i)
	case l.IsRecordedHolder():
		r.renewed(i)
	case r.seat == i && l.Record().Holder() == "" && !r.leaving:
		r.writeLease(i)
	case r.seat == i && !l.CanClaim(r.now):
		r.noteRecord(l)
		r.lose()
	case r.seat == i:
		// The store was out for longer than the lease, or this node was paused, and nobody else claimed.
		r.writeLease(i)
	default:
		r.noteRecord(l)
		r.postpone(i, l.Expiry())
	}
}

func (r *relayer) leaseRequest(k effect.Kind, o object.Object, done func(event.Event)) bool {
	r.claim.serial++
	serial := r.claim.serial
	sent := r.request(k, o, true, func(e event.Event) {
		if r.claim.serial != serial {
			return
		}
		r.claim.busy = false
		done(e)
	})
	r.claim.busy = sent
	r.claim.sent = r.now
	return sent
}

// gain starts the work of a relay.
func (r *relayer) gain(i int) {
	r.seat = i
	r.source, r.fanout = source{}, fanout{}
	r.claim.due = [seatCount]time.Time{}
	r.claim.renewAt = r.now.Add(renewPeriod)
	r.claim.attempt, r.claim.marked = 0, 0
	r.store.budget.widen(relayRate, relayBurst)
	r.supply.suspect(r.leases[i].AbandonedVersion())
	r.supply.seed(r.client.state, r.config.Service)
	r.finder.listAt = r.now
	r.watch = watch{confirmAt: r.now}
	r.noteSelf()
	r.updateRoster()
	r.tickFinder()
	r.tickWatch()
	r.syncAll()
}

// lose ends the work of a relay.
func (r *relayer) lose() {
	r.seat = -1
	r.claim.attempt, r.claim.marked = 0, 0
	r.store.budget.widen(nodeRate, nodeBurst)
	r.stopWatch()
	r.server = newServer()
	r.reports = reports{}
	r.client.retarget()
	r.updateRoster()
}

// renewed acts on the confirmation of a renewal.
func (r *relayer) renewed(i int) {
	r.claim.marked = r.leases[i].Record().PendingVersion()
	r.noteSelf()
	r.tickSupply()
	r.pulseAll()
	r.updateRoster()
}

// noteSelf puts the own lease into the table.
func (r *relayer) noteSelf() {
	l := r.lease()
	s := seatOf(l.Record())
	s.DataCentre, s.Region, s.Index, s.Holder = l.DataCentre, l.Region, l.Index, r.config.Node
	r.table.merge(s, r.now)
}

// leave hands the lease over, so that another node can claim it at once.
func (r *relayer) leave() {
	r.leaving = true
	if r.seat < 0 {
		return
	}
	l := r.lease()
	kind, o := l.Release(r.now)
	index := r.seat
	r.leaseRequest(kind, o, func(e event.Event) {
		if e.Err() == nil {
			l.Observe(r.now, e.Object())
		}
		r.table.merge(seat{
			DataCentre: l.DataCentre, Region: l.Region, Index: index, Epoch: l.Record().Epoch(), Renewed: r.now.UnixMilli(),
		}, r.now)
		r.pulseAll()
		r.syncAll()
		r.lose()
	})
}
