package spender

import (
	"slices"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

var (
	bounds   = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	terms    = bounds.Terms()
	limit    = quota.Limit{Name: "t", Rate: 100, Burst: 100}
	id, part = quota.Identify("t")
)

const hour = time.Hour // a reading of this host's clock

// newNode returns a node that knows the number of nodes, and its report to the owner "o".
func newNode(t *testing.T) (*Spender, *Account, *quota.Report) {
	t.Helper()
	s := New(bounds, "a", 3, hour-terms.Share)
	s.SetLimits([]quota.Limit{limit})
	s.Members().Hear(4, hour)
	s.SetNodes([]string{"o"}, hour)
	s.changeOwner(&s.loans[part], "o", hour)
	a := s.Existing("t")
	a.Take(hour)
	return s, a, reportOf(t, s, hour)
}

func reportOf(t *testing.T, s *Spender, now time.Duration) *quota.Report {
	t.Helper()
	for _, o := range s.Due(now) {
		if o.Report.Shard == part {
			return o.Report
		}
	}
	t.Fatal("no report is due")
	return nil
}

func grantOf(r *quota.Report, incarnation, stamp uint64, tokens uint32) *quota.Grant {
	return &quota.Grant{
		Shard: part, Incarnation: incarnation, Stamp: stamp, Reporter: r.Incarnation, Echo: r.Stamp,
		Gifts: []quota.Gift{{ID: id, Tokens: tokens, Renewed: true}},
	}
}

// TestTokenTerm guards against tokens of a delayed grant that are used when the owner counts them as expired: their term
// begins with the report.
func TestTokenTerm(t *testing.T) {
	s, a, r := newNode(t)
	if n := s.Handle("o", grantOf(r, 1, 1, 5), hour+terms.Token-time.Millisecond); n != 5 {
		t.Errorf("%d tokens of a grant in time", n)
	}
	if !a.Take(hour + terms.Token - time.Microsecond) {
		t.Error("a valid token is not used")
	}
	if a.Take(hour + terms.Token) {
		t.Error("an expired token is used")
	}
	s, a, r = newNode(t)
	if n := s.Handle("o", grantOf(r, 1, 1, 5), hour+terms.Token); n != 0 || a.Take(hour+terms.Token) {
		t.Errorf("%d tokens of a grant that is too late", n)
	}
}

// TestStaleGrants guards against tokens that the owner does not count any more: of a delayed grant, of an earlier process
// of the owner, and for an earlier process of this node.
func TestStaleGrants(t *testing.T) {
	s, _, r := newNode(t)
	s.Handle("o", grantOf(r, 2, 9, 1), hour)
	former := grantOf(r, 2, 11, 5)
	former.Reporter = 2
	for name, g := range map[string]*quota.Grant{
		"delayed": grantOf(r, 2, 8, 5), "repeated": grantOf(r, 2, 9, 5), "of an earlier owner": grantOf(r, 1, 10, 5), "for an earlier process": former,
	} {
		if n := s.Handle("o", g, hour); n != 0 {
			t.Errorf("%d tokens of a grant that is %s", n, name)
		}
	}
	if n := s.Handle("x", grantOf(r, 2, 12, 5), hour); n != 0 {
		t.Errorf("%d tokens of a node that is not the owner", n)
	}
}

// TestNotRenewed guards against tokens whose term is extended after the owner's share has ended.
func TestNotRenewed(t *testing.T) {
	s, a, r := newNode(t)
	s.Handle("o", grantOf(r, 1, 1, 5), hour)
	later := hour + terms.Interval
	g := grantOf(reportOf(t, s, later), 1, 2, 0)
	g.Gifts[0].Renewed = false
	s.Handle("o", g, later)
	if a.Take(hour + terms.Token) {
		t.Error("a token is used after its term")
	}
}

// TestShare guards against a share that is lent to two owners at a time: after the loss of an owner only when its use has
// ended, after a confirmation as soon as its tokens have expired.
func TestShare(t *testing.T) {
	s, _, r := newNode(t)
	if r.Lent != 0 {
		t.Error("the share is lent before the owner's timestamp is known")
	}
	s.Handle("o", grantOf(r, 1, 1, 0), hour)
	lentAt := hour + terms.Interval
	if r = reportOf(t, s, lentAt); r.Lent != 4 || r.Echo != 1 || r.OwnerIncarnation != 1 {
		t.Errorf("lent with %+v", r)
	}
	s.changeOwner(&s.loans[part], "p", lentAt)
	for _, c := range []struct {
		at   time.Duration
		lent uint32
	}{{lentAt + terms.Interval, 0}, {lentAt + terms.Share - time.Millisecond, 0}, {lentAt + terms.Share + terms.Interval, 4}} {
		r = reportOf(t, s, c.at)
		if r.Lent != c.lent {
			t.Errorf("lent %d after %v, want %d", r.Lent, c.at-lentAt, c.lent)
		}
		s.Handle("p", grantOf(r, 1, r.Stamp, 0), c.at)
	}
}

// TestRetryAfter guards against refused callers that return at the same time, or before there are tokens for them.
func TestRetryAfter(t *testing.T) {
	s, a, r := newNode(t)
	g := grantOf(r, 1, 1, 0)
	g.Gifts[0].Wait, g.Gifts[0].Rate = 200, 10_000
	s.Handle("o", g, hour)
	if a.Wait(hour, 100*time.Millisecond) != nil {
		t.Error("a request waits although the owner has nothing in time")
	}
	for i := range 50 {
		earliest := 200*time.Millisecond + time.Duration(i)*100*time.Millisecond
		if wait := a.Refuse(hour, 0.5); wait < earliest || wait > earliest+100*time.Millisecond {
			t.Errorf("refusal %d returns after %v, want a time of its own from %v", i, wait, earliest)
		}
	}
	for range 50 {
		a.Refuse(hour, 0.5)
	}
	if wait := a.Refuse(hour, 0.9); wait > maxRetryAfter {
		t.Errorf("Retry-After %v", wait)
	}
}

// TestLateRequests answers the load "a tenant sends three times its limit, and refused callers return": tokens that go to those
// who return late leave others to become late, so that nobody is served in time.
func TestLateRequests(t *testing.T) {
	_, a, _ := newNode(t)
	if a.Short(hour) {
		t.Error("tokens are short before a request has found none")
	}
	a.Refuse(hour, 0)
	a.RefuseLate(hour+shortFor-time.Millisecond, 0)
	if !a.Short(hour + shortFor - time.Millisecond) {
		t.Error("tokens are not short after a refusal")
	}
	if a.Short(hour + shortFor) {
		t.Error("late requests alone keep the tokens short")
	}
}

// TestSeniors guards against owners that have just started: with one that joins, most requests of a shard would be refused
// until all nodes have lent it their shares, and after a start of the whole mesh nodes must agree on the owners.
func TestSeniors(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		own  time.Duration // age of this node's process
		ages map[string]time.Duration
		want string
	}{
		{"one has just started", 60 * second, map[string]time.Duration{"b": 62 * second, "c": second}, "a b"},
		{"this one has just started", second, map[string]time.Duration{"b": 62 * second, "c": 61 * second}, "b c"},
		{"all have just started", 2 * second, map[string]time.Duration{"b": 1600 * time.Millisecond, "c": 100 * time.Millisecond}, "a b c"},
		{"replaced in turn", 90 * second, map[string]time.Duration{"b": 60 * second, "c": 30 * second}, "a b"},
		{"alone", second, nil, "a"},
	} {
		s := New(bounds, "a", 1, hour-c.own)
		var alive []string
		for address, age := range c.ages {
			s.Members().See(address, false, age, hour)
			alive = append(alive, address)
		}
		got := s.seniors(alive, hour)
		slices.Sort(got)
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: owners among %v, want %s", c.name, got, c.want)
		}
	}
}

// TestFirstOwner guards against a process that chooses an owner among the few nodes that it reaches at its start, and against
// one that stays with such an owner for seconds.
func TestFirstOwner(t *testing.T) {
	nodes := []string{"b", "c", "d", "e", "f", "g", "h", "i", "j"}
	s := New(bounds, "a", 3, hour)
	s.SetLimits([]quota.Limit{limit})
	see := func(n int, at time.Duration) []Change {
		for _, address := range nodes[:n] {
			s.Members().See(address, false, at-hour, at)
		}
		s.Members().SetAddresses(len(nodes)+1, at)
		return s.SetNodes(nodes[:n], at)
	}
	if changes := see(2, hour+200*time.Millisecond); len(changes) > 0 {
		t.Errorf("with 2 of %d nodes, an owner is chosen: %v", len(nodes), changes)
	}
	if changes := see(2, hour+firstChoice); len(changes) != quota.Shards {
		t.Errorf("after %v, owners are chosen for %d shards", firstChoice, len(changes))
	}
	var changed []uint8
	for at := hour + firstChoice; at < hour+firstChoice+terms.Token+500*time.Millisecond; at += 100 * time.Millisecond {
		for _, c := range see(len(nodes), at) {
			changed = append(changed, c.Shard)
		}
		for _, o := range s.Due(at) {
			s.Handle(o.Owner, &quota.Grant{Shard: o.Report.Shard, Incarnation: 1, Stamp: o.Report.Stamp, Reporter: 3, Echo: o.Report.Stamp}, at)
		}
	}
	if s.loans[part].next != nil || len(changed) == 0 {
		t.Errorf("changed shards %v; the tenant's shard has the owners %q and %v", changed, s.loans[part].owner.address, s.loans[part].next)
	}
}

// TestSilentOwner guards against a share that is never lent again as the former owner does not confirm its withdrawal.
func TestSilentOwner(t *testing.T) {
	s, _, r := newNode(t)
	s.Handle("o", grantOf(r, 1, 1, 0), hour)
	lentAt := hour + terms.Interval
	if r = reportOf(t, s, lentAt); r.Lent == 0 {
		t.Fatal("the share is not lent")
	}
	l := &s.loans[part]
	for at := lentAt; at < lentAt+terms.Share+2*terms.Interval; at += 50 * time.Millisecond {
		s.change(l, "p", at)
		for _, o := range s.Due(at) {
			if o.Owner != "p" || o.Report.Shard != part {
				continue
			}
			if o.Report.Lent > 0 {
				if at < lentAt+terms.Share {
					t.Fatalf("the share is lent to two owners %v after its last report", at-lentAt)
				}
				return
			}
			s.Handle("p", grantOf(o.Report, 1, o.Report.Stamp, 0), at)
		}
	}
	t.Error("the share is not lent to the next owner")
}
