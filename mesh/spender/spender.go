package spender

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/membercounter"
	"wisteriaspoke.example/mesh/quota"
)

const (
	// rateMemory is the time constant of the measured demand.
	rateMemory = 700 * time.Millisecond
	// roundTrip is the time between a report and its grant for which a node holds tokens, too.
	roundTrip = 100 * time.Millisecond
	// reserve is the number of tokens for requests beyond the measured demand.
	reserve = 1
	// reservedPart is the largest part of a tenant's stock that all nodes together may hold as reserves. A tenant whose stock
	// is too small for that has no reserves, as its requests would find the tokens at other nodes.
	reservedPart = 0.5
	// reserveFor is how long after its last request a tenant's reserve is kept.
	reserveFor = 10 * time.Second
	// spareTokens is the number of tokens beyond its need that a node keeps.
	spareTokens = 1
	// coalesceFor is how long a report for a request that waits is held back for others.
	coalesceFor = 10 * time.Millisecond
	// unansweredPause is the shortest time between two reports for requests that wait while the first is not answered. A
	// request would wait too long if its report came only after that answer from another region.
	unansweredPause = 2 * coalesceFor
	// lowInterval is the shortest time between two reports because tokens have run out while no request waits.
	lowInterval = 250 * time.Millisecond
	// avoidFor is how long a node that has said that it stops is not an owner; a restart takes some seconds.
	avoidFor = 10 * time.Second
	// changeSpread is the time over which the nodes change to an owner that has come back. The former one goes on
	// meanwhile, so the tenants of the shard never have to do without most of their shares.
	changeSpread = 5 * time.Second
	// leaveSpread is the same for the change from an owner that has said that it stops, which ends some two seconds later.
	leaveSpread = time.Second
	// firstChoice is how long after its start a process waits until it reaches most of the nodes, so that it does not choose an
	// owner that the others do not have.
	firstChoice = 800 * time.Millisecond
	// youngFor is how long after its start a process changes to another owner without a spread. Its first choice was made among
	// the nodes that it reached by then, and its share is of little use to an owner that others do not have.
	youngFor = 5 * time.Second
	// seniorSlack is added to the age of each node that may be an owner, so that nodes agree on the candidates after a start of
	// the whole mesh, when ages are as long as the time that it takes to learn them.
	seniorSlack = 2 * time.Second
	// limitedFor is the time without a refusal after which a tenant is not limited any more.
	limitedFor = 5 * time.Second
)

// Spender holds the accounts of all tenants with a limit. Account is safe for concurrent use; all other methods belong
// to one goroutine. Times are readings of this host's boot-time clock.
type Spender struct {
	bounds      quota.Bounds
	terms       quota.Terms
	incarnation uint64
	self        string
	lastStamp   uint64
	accounts    atomic.Pointer[directory]
	mutex       sync.Mutex // guards changes of accounts
	loans       [quota.Shards]loan
	startedAt   time.Duration
	together    bool                     // the whole mesh has started with this process
	avoided     map[string]time.Duration // addresses of nodes that stop, until when
	released    map[string]time.Duration // those that use no share any more, until when

	members *membercounter.MemberCounter
	expired uint64
}

// directory is an immutable set of accounts.
type directory struct {
	byName  map[string]*Account
	byShard [quota.Shards][]*Account // in the order of their names
}

func newDirectory(byName map[string]*Account) *directory {
	d := &directory{byName: byName}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		a := byName[name]
		d.byShard[a.shard] = append(d.byShard[a.shard], a)
	}
	return d
}

// relation is what this node and one owner have told each other.
type relation struct {
	owner      process // incarnation 0 before its first grant
	echo       uint64  // stamp of its last grant
	reportedAt time.Duration
	reported   bool
	answered   bool
	dueAt      time.Duration
	successor  bool // another owner has granted tokens before
}

// loan is what this node has to do with the owners of one shard. There are two of them while the owner changes.
type loan struct {
	relation   // with the owner that is asked for tokens until askAt
	lentAt     time.Duration
	lent       bool          // lentAt is set
	used       bool          // this process has lent its share before
	freeAt     time.Duration // from when this node's share may be lent
	next       *relation     // with the owner to change to, or nil
	changeAt   time.Duration // when to withdraw the share for that
	askAt      time.Duration // when to ask the next owner for tokens
	withdrawn  bool          // the share is not lent to the former owner any more
	withdrawal uint64        // stamp of the first report that said so, or 0
	moved      bool          // the share is lent to the next owner
}

// asked returns the relation with the owner that is asked for tokens.
func (l *loan) asked(now time.Duration) *relation {
	if l.next != nil && now >= l.askAt && l.next.echo > 0 {
		return l.next
	}
	return &l.relation
}

// relations returns the relations with all owners of the shard.
func (l *loan) relations() []*relation {
	if l.next != nil {
		return []*relation{&l.relation, l.next}
	}
	return []*relation{&l.relation}
}

// holds reports whether the owner is the one that has this node's share, or is to get it.
func (l *loan) holds(r *relation) bool { return (r == l.next) == l.withdrawn }

// arrive ends a change to the next owner.
func (l *loan) arrive() {
	l.relation = *l.next
	l.cancel()
}

// cancel forgets the next owner.
func (l *loan) cancel() { l.next, l.withdrawn, l.withdrawal, l.moved = nil, false, 0, false }

// Outgoing is a report and the node that it is for.
type Outgoing struct {
	Owner  string
	Report *quota.Report
}

// Change is a change of a shard's owner.
type Change struct {
	Shard       uint8
	Owner, From string
}

// Transition is the begin or the end of a period in which requests of a tenant are refused.
type Transition struct {
	Limit   quota.Limit
	Began   bool
	Refused uint64        // in the period
	Period  time.Duration // how long it lasted
	Rate    float64       // requests a second that arrive
	Granted float64       // tokens a second that the owner has for this node
}

// New returns the spender of a process on the node with address self; incarnation grows with each start.
func New(b quota.Bounds, self string, incarnation uint64, now time.Duration) *Spender {
	s := &Spender{
		bounds: b, terms: b.Terms(), startedAt: now, incarnation: incarnation, self: self, avoided: map[string]time.Duration{}, released: map[string]time.Duration{},
		members: membercounter.New(now),
	}
	s.accounts.Store(newDirectory(nil))
	for i := range s.loans {
		// The former process of this node may have lent its share just before its end.
		s.loans[i].freeAt = now + s.terms.Share
	}
	return s
}

// Account returns the account of the tenant with the limit, and adds it if it is new.
func (s *Spender) Account(l quota.Limit) *Account {
	if a := s.Existing(l.Name); a != nil {
		return a
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if a := s.Existing(l.Name); a != nil {
		return a
	}
	id, shard := quota.Identify(l.Name)
	a := &Account{id: id, shard: shard}
	a.limit.Store(&l)
	as := map[string]*Account{l.Name: a}
	maps.Copy(as, s.accounts.Load().byName)
	s.accounts.Store(newDirectory(as))
	return a
}

// Age returns how long this process has run.
func (s *Spender) Age(now time.Duration) time.Duration { return now - s.startedAt }

// Existing returns the account of the tenant with the name, or nil.
func (s *Spender) Existing(name string) *Account { return s.accounts.Load().byName[name] }

// Accounts returns all accounts by name; the map must not be changed.
func (s *Spender) Accounts() map[string]*Account { return s.accounts.Load().byName }

// Expired returns how many tokens were not used in time.
func (s *Spender) Expired() uint64 { return s.expired }

// SetLimits replaces the limits of all tenants.
func (s *Spender) SetLimits(ls []quota.Limit) {
	for _, l := range ls {
		s.Account(l).limit.Store(&l)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	as := map[string]*Account{}
	for _, l := range ls {
		as[l.Name] = s.Existing(l.Name)
	}
	s.accounts.Store(newDirectory(as))
}

// Members returns the counter of the nodes among which limits are divided.
func (s *Spender) Members() *membercounter.MemberCounter { return s.members }

// SetNodes sets the other nodes that are alive and returns the shards whose owner changes.
func (s *Spender) SetNodes(alive []string, now time.Duration) []Change {
	expired := func(_ string, until time.Duration) bool { return until <= now }
	maps.DeleteFunc(s.avoided, expired)
	maps.DeleteFunc(s.released, expired)
	s.together = now < s.startedAt+s.terms.Share && s.members.StartedTogether()
	candidates := s.seniors(alive, now)
	var changes []Change
	for i := range s.loans {
		l := &s.loans[i]
		if l.owner.address == "" && now < s.startedAt+firstChoice && !s.members.ReachesMost() {
			continue
		}
		if s.together && !l.lent && l.freeAt == s.startedAt+s.terms.Share {
			l.freeAt = now
		}
		best := s.chooseOwner(uint8(i), candidates)
		usable := func(owner string) bool {
			return owner == s.self || slices.Contains(alive, owner) && s.released[owner] == 0
		}
		if l.next != nil && !usable(l.next.owner.address) {
			s.abandonChange(l)
		}
		from := l.owner.address
		switch alone := from == s.self && !l.lent && l.next == nil; {
		case from == best && !l.withdrawn:
			l.cancel()
		case from != "" && usable(from) && !alone:
			s.change(l, best, now)
		case l.next != nil:
			// The former owner is gone, and with it the share unless the next one has it already.
			if l.lent && !l.moved {
				l.freeAt, l.lent = max(l.freeAt, l.lentAt+s.terms.Share), false
			}
			l.arrive()
		default:
			s.changeOwner(l, best, now)
		}
		if l.owner.address != from {
			changes = append(changes, Change{Shard: uint8(i), Owner: l.owner.address, From: from})
		}
	}
	return changes
}

// change goes on with the change to the next owner while the former one is alive. At different times the nodes withdraw
// their shares and lend them to the next owner, and half-way they all ask that one for tokens: both owners then have
// about half of the shares, which is more than either would have for the first or the last nodes that change.
func (s *Spender) change(l *loan, next string, now time.Duration) {
	if l.next == nil || l.next.owner.address != next && !l.withdrawn {
		spread, term := changeSpread, s.terms.Token
		switch {
		case now < s.startedAt+youngFor:
			spread = 0
		case s.avoided[l.owner.address] > 0:
			spread, term = leaveSpread, s.terms.Last
		}
		part := float64(xxhash.Sum64String(s.self+" changes "+next)) / math.MaxUint64
		l.next = &relation{owner: process{address: next}, dueAt: now, successor: true}
		l.changeAt, l.askAt = now+time.Duration(part*float64(spread)), now+(spread+term)/2
	}
	switch {
	case !l.withdrawn && now >= l.changeAt:
		l.withdrawn, l.withdrawal, l.dueAt = true, 0, now
	case l.withdrawn && l.lent && !l.moved && now >= l.lentAt+s.terms.Share:
		// Without a confirmation, the use of the share ends by itself.
		l.lent = false
	case l.moved && now >= l.askAt:
		l.arrive()
	}
}

// abandonChange ends a change whose next owner is gone.
func (s *Spender) abandonChange(l *loan) {
	if l.moved && l.lent {
		l.freeAt, l.lent = max(l.freeAt, l.lentAt+s.terms.Share), false
	}
	l.cancel()
}

// seniors returns the nodes that may be owners: those that do not stop and have run at least half as long as the oldest of
// them. With a node that has just started as the owner, most requests would be refused until the shares are lent to it.
func (s *Spender) seniors(alive []string, now time.Duration) []string {
	ages := map[string]time.Duration{}
	if s.avoided[s.self] == 0 {
		ages[s.self] = now - s.startedAt
	}
	for _, address := range alive {
		if s.avoided[address] == 0 {
			ages[address] = s.members.Age(address, now)
		}
	}
	oldest := time.Duration(0)
	for _, age := range ages {
		oldest = max(oldest, age)
	}
	maps.DeleteFunc(ages, func(_ string, age time.Duration) bool { return age+seniorSlack < oldest/2 })
	return slices.Collect(maps.Keys(ages))
}

// chooseOwner returns the owner of a shard by rendezvous hashing among the candidates, or this node if there is none.
func (s *Spender) chooseOwner(n uint8, candidates []string) string {
	score := func(address string) uint64 { return xxhash.Sum64String(address + " " + string('a'+rune(n))) }
	best := s.self
	for i, address := range candidates {
		if i == 0 || score(address) > score(best) {
			best = address
		}
	}
	return best
}

func (s *Spender) changeOwner(l *loan, owner string, now time.Duration) {
	if l.lent {
		l.freeAt = max(l.freeAt, l.lentAt+s.terms.Share)
	}
	l.relation, l.lent = relation{owner: process{address: owner}, dueAt: now, successor: l.echo > 0}, false
	l.cancel()
}

// Due returns the reports that are due.
func (s *Spender) Due(now time.Duration) []Outgoing {
	as := s.accounts.Load()
	if len(as.byName) == 0 {
		return nil
	}
	var out []Outgoing
	for i := range s.loans {
		l := &s.loans[i]
		for _, r := range l.relations() {
			if r.owner.address != "" && due(l, r, as.byShard[i], now) <= now {
				if q := s.report(uint8(i), r, as.byShard[i], now); q != nil {
					out = append(out, Outgoing{Owner: r.owner.address, Report: q})
				}
			}
		}
	}
	return out
}

// NextDue returns when the next report is due if nothing happens until then.
func (s *Spender) NextDue(now time.Duration) time.Duration {
	as := s.accounts.Load()
	next := now + s.terms.Interval
	for i := range s.loans {
		l := &s.loans[i]
		if len(as.byShard[i]) == 0 {
			continue
		}
		for _, r := range l.relations() {
			next = min(next, due(l, r, as.byShard[i], now))
		}
	}
	return next
}

// due returns when the next report of a shard to an owner is due.
func due(l *loan, r *relation, as []*Account, now time.Duration) time.Duration {
	at := r.dueAt
	if r != l.asked(now) {
		return at
	}
	for _, a := range as {
		switch {
		case a.urgent.Load() && (r.answered || !r.reported):
			at = min(at, r.reportedAt+coalesceFor)
		case a.urgent.Load():
			at = min(at, r.reportedAt+unansweredPause)
		case a.low.Load():
			at = min(at, max(r.reportedAt+lowInterval, time.Duration(a.emptyTill.Load())))
		}
	}
	return at
}

func (s *Spender) stamp(now time.Duration) uint64 {
	s.lastStamp = max(s.lastStamp+1, uint64(now/time.Microsecond))
	return s.lastStamp
}

// report makes a shard's report to an owner, or returns nil if no tenant is in the shard.
func (s *Spender) report(n uint8, r *relation, as []*Account, now time.Duration) *quota.Report {
	if len(as) == 0 {
		return nil
	}
	l := &s.loans[n]
	q := &quota.Report{
		Shard: n, Incarnation: s.incarnation, Stamp: s.stamp(now), OwnerIncarnation: r.owner.incarnation, Echo: r.echo,
		NodeCount: uint32(s.members.Known(now)),
	}
	if r == l.asked(now) {
		for _, a := range as {
			if need, needed := s.need(a, r, now); needed {
				q.Needs = append(q.Needs, need)
			}
		}
	}
	r.dueAt = now + s.terms.Interval
	switch count := s.members.Count(now); {
	case !l.holds(r):
		if l.withdrawn {
			l.withdrawal = cmp.Or(l.withdrawal, q.Stamp)
		}
	case l.withdrawn && l.lent && !l.moved:
		// The former owner has not confirmed the withdrawal yet.
	case now < l.freeAt:
		r.dueAt = min(r.dueAt, l.freeAt)
	case count > 0 && r.echo > 0:
		q.Lent = uint32(count)
		if s.together && !l.used {
			q.Idle = uint32((now - s.startedAt).Milliseconds())
		}
		l.lent, l.lentAt, l.used, l.moved = true, now, true, r == l.next
	}
	r.reported, r.reportedAt, r.answered = true, now, false
	return q
}

// need returns what the report says about one tenant, and whether it has to.
func (s *Spender) need(a *Account, r *relation, now time.Duration) (quota.Need, bool) {
	a.urgent.Store(false)
	a.low.Store(false)
	waiting := a.waiting()
	a.measure(now)
	if waiting > 0 {
		a.arrived, a.arrivedAt = true, now
	}
	want := 0
	if a.arrived && now-a.arrivedAt < reserveFor {
		want = s.stockpile(a, now) + waiting
	}
	need := quota.Need{
		ID: a.id, Waiting: uint32(waiting), Want: uint32(want), Rate: uint32(a.rate * 1000), Returned: uint32(a.returned.Swap(0)),
	}
	if int64(now) >= a.expiry.Load() {
		s.expired += a.drop()
	}
	if a.owner == r.owner {
		unused, held := a.giveUp(int64(want))
		need.Unused, need.Held = uint32(unused), uint32(held)
	}
	return need, want > 0 || need.Held > 0 || need.Unused > 0 || need.Returned > 0
}

// stockpile returns how many tokens the node holds for requests that have not arrived: for its demand until the next grant,
// and a reserve if the stock is large enough for one at each node.
func (s *Spender) stockpile(a *Account, now time.Duration) int {
	expected := a.rate * (s.terms.Interval + roundTrip).Seconds()
	if reservedPart*s.bounds.Stock(*a.limit.Load()) < float64(reserve*s.members.Count(now)) {
		return int(expected)
	}
	return int(math.Ceil(expected)) + reserve
}

// measure updates the rate at which requests arrive.
func (a *Account) measure(now time.Duration) {
	total := a.arrivals.Load()
	passed := now - a.seenAt
	if passed <= 0 {
		return
	}
	fresh := total - a.arrivalsSeen
	if fresh > 0 {
		a.arrived, a.arrivedAt = true, now
	}
	a.rate += (float64(fresh)/passed.Seconds() - a.rate) * (1 - math.Exp(-passed.Seconds()/rateMemory.Seconds()))
	a.arrivalsSeen, a.seenAt = total, now
}

// Handle applies a grant of the node at address from. It returns how many tokens were added.
func (s *Spender) Handle(from string, g *quota.Grant, now time.Duration) int {
	if g.Shard >= quota.Shards || g.Reporter != s.incarnation || g.Echo > s.lastStamp {
		return 0
	}
	if g.Released || g.Term > 0 {
		s.avoided[from] = now + avoidFor
	}
	if g.Released {
		s.released[from] = now + avoidFor
	}
	term := s.terms.Token
	if g.Term > 0 {
		term = min(term, time.Duration(g.Term)*time.Millisecond)
	}
	l := &s.loans[g.Shard]
	r := &l.relation
	if l.next != nil && l.next.owner.address == from {
		r = l.next
	}
	if from != r.owner.address || g.Incarnation < r.owner.incarnation ||
		g.Incarnation == r.owner.incarnation && g.Stamp <= r.echo {
		return 0
	}
	s.members.Hear(int(g.NodeCount), now)
	lentHere := l.lent && l.moved == (r == l.next)
	if g.Incarnation > r.owner.incarnation {
		if lentHere {
			// The process that used the share has ended.
			l.freeAt, l.lent = max(l.freeAt, min(l.lentAt+s.terms.Share, now+s.terms.Token)), false
		}
		r.owner.incarnation = g.Incarnation
		r.dueAt = min(r.dueAt, now+coalesceFor)
	}
	first := r.echo == 0
	r.echo, r.answered = g.Stamp, true
	if lentHere && l.lent && (g.Released || r != l.next && l.withdrawal > 0 && g.Echo >= l.withdrawal) {
		// The tokens that the owner has granted with the share expire within their term from now.
		l.freeAt, l.lent = max(l.freeAt, now+term), false
		if l.next != nil {
			l.next.dueAt = min(l.next.dueAt, l.freeAt)
		}
	}
	valid := time.Duration(g.Echo)*time.Microsecond + term
	added := 0
	as := s.accounts.Load().byShard[g.Shard]
	for _, gift := range g.Gifts {
		for _, a := range as {
			if a.id == gift.ID {
				if first && r.successor {
					// The shares of this node and of others are on their way to this owner.
					gift.Wait = 0
				}
				added += s.add(a, r, gift, valid, now)
			}
		}
	}
	return added
}

// add adds the tokens of a gift to an account.
func (s *Spender) add(a *Account, r *relation, gift quota.Gift, valid, now time.Duration) int {
	if int64(now) >= a.expiry.Load() {
		s.expired += a.drop()
	}
	if a.owner != r.owner {
		if gift.Tokens == 0 && a.tokens.Load() > 0 {
			// The tokens of the former owner are used first.
			gift.Renewed = false
		} else {
			s.expired += a.drop()
			a.owner = r.owner
			a.expiry.Store(int64(valid))
		}
	}
	if gift.Renewed && int64(valid) > a.expiry.Load() {
		a.expiry.Store(int64(valid))
	}
	added := 0
	if int64(now) < a.expiry.Load() && valid > now {
		a.tokens.Add(int64(gift.Tokens))
		added = int(gift.Tokens)
	}
	till := time.Duration(0)
	if gift.Wait > 0 {
		till = now + time.Duration(gift.Wait)*time.Millisecond
		a.ownRate.Store(math.Float64bits(float64(gift.Rate) / 1000))
		r.dueAt = min(r.dueAt, till)
	}
	a.emptyTill.Store(int64(till))
	a.serve(now)
	return added
}

// Transitions returns the tenants that have begun or ceased to be limited since the last call.
func (s *Spender) Transitions(now time.Duration) []Transition {
	var ts []Transition
	for _, a := range s.Accounts() {
		refused := a.refused.Load()
		t := Transition{
			Limit: *a.limit.Load(), Rate: a.rate, Granted: math.Float64frombits(a.ownRate.Load()),
		}
		switch {
		case refused != a.refusedSeen:
			if a.limited == nil {
				a.limited = &period{since: now, refused: a.refusedSeen}
				t.Began, t.Refused = true, refused-a.refusedSeen
				ts = append(ts, t)
			}
			a.refusedSeen, a.refusedAt = refused, now
		case a.limited != nil && now-a.refusedAt >= limitedFor:
			t.Refused, t.Period = refused-a.limited.refused, a.refusedAt-a.limited.since
			a.limited = nil
			ts = append(ts, t)
		}
	}
	return ts
}
