package spender

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// Change is a change of a shard's owner.
type Change struct {
	Shard       uint8
	Owner, From string
}

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
		if l.next != nil && !s.usable(l.next.owner.address, alive) {
			s.abandonChange(l)
		}
		from := l.owner.address
		switch alone := from == s.self && !l.lent && l.next == nil; {
		case from == best && !l.withdrawn:
			l.cancel()
		case from != "" && s.usable(from, alive) && !alone:
			s.change(l, best, now)
		case l.next != nil:
			// The former owner is gone, and with it the share unless the next one has it already.
			if !l.moved {
				s.endLoan(l)
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

// usable reports whether a node can grant tokens: it is alive and has not released the shares.
func (s *Spender) usable(owner string, alive []string) bool {
	return owner == s.self || slices.Contains(alive, owner) && s.released[owner] == 0
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
		s.endLoan(l)
	case l.moved && now >= l.askAt:
		l.arrive()
	}
}

// abandonChange ends a change whose next owner is gone.
func (s *Spender) abandonChange(l *loan) {
	if l.moved {
		s.endLoan(l)
	}
	l.cancel()
}

// endLoan ends the loan to an owner that does not confirm it: the share is free when the term of its last report ends.
func (s *Spender) endLoan(l *loan) {
	if l.lent {
		l.freeAt, l.lent = max(l.freeAt, l.lentAt+s.terms.Share), false
	}
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
	s.endLoan(l)
	l.relation = relation{owner: process{address: owner}, dueAt: now, successor: l.echo > 0}
	l.cancel()
}
