package revalidator

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/clockrelater"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/message"
)

const (
	// singleReaders is the number of nodes of a region that read the store one after the other.
	singleReaders = 3
	// relays is the number of nodes of each other region that a proof is sent to. The second one passes it on if nothing as
	// new has come from its own region after relayDelay.
	relays     = 2
	relayDelay = 100 * time.Millisecond
	// maxDrift is the time by which a moment may be ahead of this host's clock, as clocks drift between two stamps.
	maxDrift = 50 * time.Millisecond
	// stampInterval is the interval of stamps to a node that sends proofs.
	stampInterval = 10 * time.Second
	// askInterval is the shortest time between two requests for a node's stamp, or two answers to proofs for another run of
	// this node.
	askInterval = 300 * time.Millisecond
	// minReadPause and maxReadPause bound the pause after a read of the store that has brought no newer proof; it doubles
	// each time. regionReadPause is the least upper bound for each node of the region, so that the calls of a region do not
	// grow with its size while the store is out.
	minReadPause    = 300 * time.Millisecond
	maxReadPause    = 1200 * time.Millisecond
	regionReadPause = 150 * time.Millisecond
)

// never is before any reading of a clock, and far from the limits of its type.
const never = time.Duration(math.MinInt64 / 4)

// contact is the state of the exchange with another node.
type contact struct {
	incarnation uint64 // the run of the node that a proof was sent to
	pending     bool   // a proof waits for the node's stamp
	pendingDuty int
	askedAt     time.Duration
	stampedAt   time.Duration // when a stamp was last sent to it
}

// distributor decides which proofs count and which messages and reads they cause. One goroutine calls its methods, except
// for fresh.
type distributor struct {
	address, region string
	incarnation     uint64
	schedule        schedule
	now             func() time.Duration // boot-time clock
	random          func() float64
	send            func(peer string, m message.Message)
	nodes           func() []elector.Candidate

	proofs atomic.Pointer[proofs]

	relater  *clockrelater.ClockRelater
	contacts map[string]*contact
	startAt  time.Duration
	passed   proof // the newest that was passed on; its moment is never before the first
	passedAt time.Duration
	// The proof that this node passes on at secondAt, unless another node has.
	second    proof
	secondAt  time.Duration
	hasSecond bool
	local     time.Duration // the moment of the newest proof that other nodes of this region have sent

	isBehind     bool          // a proof names a newer version than this node's
	behindAt     time.Duration // since when
	readPause    time.Duration // after the last read of the store
	readAt       time.Duration // before this, the store is not read again
	readBase     time.Duration // the moment of the newest proof at the last read
	reading      bool
	incomparable int64 // proofs that were dropped, as they named a moment that this host's clock has not reached
}

func newDistributor(address, region string, incarnation uint64, times schedule, now func() time.Duration) *distributor {
	d := &distributor{
		address: address, region: region, incarnation: incarnation, schedule: times, now: now, relater: clockrelater.New(),
		contacts: map[string]*contact{}, startAt: now(), passed: proof{moment: never}, passedAt: never, local: never,
	}
	d.proofs.Store(&proofs{})
	return d
}

// age returns the age of the newest proof for a configuration of the version; it reports false if there is none.
func (d *distributor) age(version uint64) (time.Duration, bool) {
	moment, ok := d.proofs.Load().newest(version)
	if !ok {
		return 0, false
	}
	return d.now() - moment, true
}

// fresh reports whether a configuration of the version was the newest one less than freshFraction of --revoke ago. A moment
// that the clock has not reached shows that the clock has stood still, and proves nothing.
func (d *distributor) fresh(version uint64) bool {
	age, ok := d.age(version)
	return ok && age >= 0 && age < d.schedule.fresh
}

// keep adds a proof, and reports false if it shows nothing new.
func (d *distributor) keep(p proof) bool {
	if excess := p.moment - d.now(); excess > maxDrift {
		// This host's clock has stood still, so that all proofs look younger than they are.
		d.incomparable++
		d.proofs.Store(&proofs{})
		return false
	} else if excess > 0 {
		p.moment -= 2 * excess
	}
	next, added := d.proofs.Load().add(p)
	if added {
		d.proofs.Store(&next)
	}
	return added
}

// handleOwn takes a proof of this node's own reads of the store and passes it on.
func (d *distributor) handleOwn(p proof) {
	if !d.keep(p) {
		return
	}
	regions := d.passToRegion(p, "")
	for _, region := range regions {
		for i, n := range d.relaysOf(region) {
			d.pass(n, p, dutyRelay+i)
		}
	}
}

// gains reports whether the proof is worth passing on: it is newer than the newest that this node has passed on, or has got
// from other nodes of its region.
func (d *distributor) gains(p proof) bool {
	return p.moment-max(d.passed.moment, d.local) >= d.schedule.gain
}

// passToRegion sends a proof to the other nodes of this region except one, and returns the other regions.
func (d *distributor) passToRegion(p proof, except string) []string {
	d.passed, d.passedAt = p, d.now()
	var regions []string
	for _, n := range d.nodes() {
		switch {
		case !n.Alive:
		case n.Region != d.region:
			if !slices.Contains(regions, n.Region) {
				regions = append(regions, n.Region)
			}
		case n.Address != except:
			d.pass(n, p, dutyNone)
		}
	}
	return regions
}

// relaysOf returns the nodes that pass proofs on in the region, the same ones on all nodes, so that few clocks need to be
// related.
func (d *distributor) relaysOf(region string) []elector.Candidate {
	var ns []elector.Candidate
	for _, n := range d.nodes() {
		if n.Alive && n.Region == region {
			ns = append(ns, n)
		}
	}
	slices.SortFunc(ns, func(a, b elector.Candidate) int { return compareRanks(a.Address, b.Address) })
	return ns[:min(relays, len(ns))]
}

// pass sends a proof to a node by the node's clock, or asks for a stamp of the clock first.
func (d *distributor) pass(n elector.Candidate, p proof, duty int) {
	c := d.contact(n.Address)
	now := d.now()
	moment, incarnation, ok := d.relater.Convert(n.Address, p.moment, now)
	if ok && incarnation == n.Incarnation {
		c.incarnation, c.pending = incarnation, false
		d.send(n.Address, message.New(kindProof, &proofMessage{
			Incarnation: incarnation, Moment: floorMillis(moment), Version: p.version, Duty: duty,
		}))
		return
	}
	c.incarnation, c.pending, c.pendingDuty = n.Incarnation, true, duty
	if now-c.askedAt >= askInterval {
		c.askedAt = now
		d.sendStamp(n.Address, c, true)
	}
}

func (d *distributor) contact(peer string) *contact {
	c := d.contacts[peer]
	if c == nil {
		c = &contact{askedAt: never, stampedAt: never}
		d.contacts[peer] = c
	}
	return c
}

func (d *distributor) sendStamp(peer string, c *contact, ask bool) {
	now := d.now()
	c.stampedAt = now
	d.send(peer, message.New(kindStamp, &stamp{Incarnation: d.incarnation, Clock: floorMillis(now), Ask: ask}))
}

// floorMillis rounds a reading of a clock down, as it is a lower bound.
func floorMillis(t time.Duration) int64 { return int64(math.Floor(t.Seconds() * 1000)) }

// handleStamp relates the clock of a node to this one and sends what waited for that.
func (d *distributor) handleStamp(peer string, s *stamp) {
	d.relater.Observe(peer, s.Incarnation, time.Duration(s.Clock)*time.Millisecond, d.now())
	c := d.contact(peer)
	if s.Ask {
		d.sendStamp(peer, c, false)
	}
	if c.pending && d.now()-d.passed.moment < d.schedule.keep {
		d.pass(elector.Candidate{Address: peer, Incarnation: s.Incarnation}, d.passed, c.pendingDuty)
	}
}

// handleProof takes a proof of another node and passes it on if this node is to do so.
func (d *distributor) handleProof(peer string, m *proofMessage) {
	c, now := d.contact(peer), d.now()
	if m.Incarnation != d.incarnation {
		// The sender does not know that this node has restarted.
		if now-c.stampedAt >= askInterval {
			d.sendStamp(peer, c, false)
		}
		return
	}
	if now-c.stampedAt >= stampInterval {
		d.sendStamp(peer, c, false)
	}
	p := proof{moment: time.Duration(m.Moment) * time.Millisecond, version: m.Version}
	added := d.keep(p)
	switch m.Duty {
	case dutyNone:
		if added {
			d.local = max(d.local, p.moment)
		}
	case dutyRelay:
		if added && d.gains(p) {
			d.passToRegion(p, peer)
		}
	case dutySecond:
		if added && !d.hasSecond {
			d.secondAt, d.hasSecond = now+relayDelay, true
		}
		if added {
			d.second = p
		}
	}
}

// tick does what is due, and reports whether this node is to read the store now. version is that of the configuration in
// force, and known reports whether there is one.
func (d *distributor) tick(version uint64, known bool) bool {
	now := d.now()
	if d.hasSecond && now >= d.secondAt {
		d.hasSecond = false
		if d.gains(d.second) {
			d.passToRegion(d.second, "")
		}
	}
	if now-d.passedAt < d.schedule.sender {
		d.passToNew(now)
	}
	if !known || d.reading {
		return false
	}
	base := d.startAt
	if moment, ok := d.proofs.Load().newest(version); ok {
		base = max(base, moment)
	}
	readAge, due := d.readDue(version, now, base)
	if !due {
		return false
	}
	if base > d.readBase {
		d.readPause, d.readAt = 0, 0
	}
	if now < d.readAt || now-base < readAge {
		return false
	}
	d.readBase, d.reading = base, true
	d.readPause = min(max(maxReadPause, regionReadPause*time.Duration(d.regionSize())), max(minReadPause, 2*d.readPause))
	d.readAt = now + d.readPause/2 + time.Duration(d.random()*float64(d.readPause/2))
	return true
}

// readDue returns the age of the newest proof, whose moment is base, from which this node reads the store, and reports false
// if no node of its region does so yet.
func (d *distributor) readDue(version uint64, now, base time.Duration) (age time.Duration, due bool) {
	if !d.proofs.Load().beyond(version) {
		d.behindAt, d.isBehind = 0, false
	} else if !d.isBehind {
		d.behindAt, d.isBehind = now, true
	}
	if d.isBehind && now-d.behindAt >= d.schedule.behind {
		// The others have the version, so that their reads do not help.
		return 0, true
	}
	if now-base < d.schedule.read {
		return 0, false
	}
	return d.schedule.read + d.readDelay(), true
}

// passToNew sends the newest proof to nodes of this region that have started or appeared since it was passed on, and asks
// again for stamps that have not come.
func (d *distributor) passToNew(now time.Duration) {
	for _, n := range d.nodes() {
		if !n.Alive {
			continue
		}
		c := d.contacts[n.Address]
		appeared := n.Region == d.region && (c == nil || c.incarnation != n.Incarnation)
		switch {
		case appeared:
			d.pass(n, d.passed, dutyNone)
		case c != nil && c.pending && now-c.askedAt >= askInterval:
			d.pass(n, d.passed, c.pendingDuty)
		}
	}
}

// forget drops what is known of nodes that are gone.
func (d *distributor) forget() {
	known := map[string]bool{}
	for _, n := range d.nodes() {
		known[n.Address] = true
	}
	d.relater.Retain(func(peer string) bool { return known[peer] })
	for peer := range d.contacts {
		if !known[peer] {
			delete(d.contacts, peer)
		}
	}
}

// readDelay returns for how long this node leaves the read of the store to the nodes before it: those of its region with a
// lower rank, of which nodes whose last call to the store failed come last, and the regions with a lower rank.
func (d *distributor) readDelay() time.Duration {
	type place struct {
		address string
		failed  bool
	}
	var region []place
	regions := map[string]bool{}
	for _, n := range d.nodes() {
		if !n.Alive {
			continue
		}
		if n.Region == d.region {
			region = append(region, place{n.Address, !n.StoreReachable && !n.StoreFailedAt.IsZero()})
		} else if compareRanks(n.Region, d.region) < 0 {
			regions[n.Region] = true
		}
	}
	own := place{address: d.address, failed: d.readPause > maxReadPause/2}
	before := 0
	for _, n := range region {
		if n.failed == own.failed && compareRanks(n.address, own.address) < 0 || own.failed && !n.failed {
			before++
		}
	}
	delay := time.Duration(min(before, singleReaders)) * d.schedule.readStep
	if before > singleReaders {
		delay += d.schedule.otherReaders * time.Duration(before-singleReaders) / time.Duration(len(region)+1-singleReaders)
	}
	return delay + time.Duration(len(regions))*d.schedule.regionStep
}

func (d *distributor) regionSize() int {
	size := 1
	for _, n := range d.nodes() {
		if n.Alive && n.Region == d.region {
			size++
		}
	}
	return size
}

// compareRanks orders names by their hashes, so that the first ones differ from those that are elected by address.
func compareRanks(a, b string) int {
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

func rank(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
