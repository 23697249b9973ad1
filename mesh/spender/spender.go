package spender

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// The shares of this node and of others are on their way to a new owner, so it can't say yet when there will be tokens.
	waitUnknown := r.echo == 0 && r.successor
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
				if waitUnknown {
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
