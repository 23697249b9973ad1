package granter

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/quota"
)

var (
	bounds   = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	terms    = bounds.Terms()
	limit    = quota.Limit{Name: "t", Rate: 100, Burst: 100}
	id, part = quota.Identify("t")
)

const hour = time.Hour // a reading of the owner's clock

// newOwner returns an owner to which one node has lent the whole limit.
func newOwner(t *testing.T) (*Granter, *quota.Grant) {
	t.Helper()
	g := New(bounds, 7)
	g.SetLimits([]quota.Limit{limit}, hour)
	first := g.Handle("lender", &quota.Report{Shard: part, Incarnation: 1, Stamp: 1}, hour)
	if first == nil {
		t.Fatal("no response to the first report")
	}
	g.Handle("lender", &quota.Report{Shard: part, Incarnation: 1, Stamp: 2, OwnerIncarnation: 7, Echo: first.Stamp, Lent: 1}, hour)
	return g, first
}

// ask reports a need at the time and returns the response.
func ask(g *Granter, stamp, echo uint64, held, want uint32, now time.Duration) *quota.Grant {
	return g.Handle("holder", &quota.Report{
		Shard: part, Incarnation: 1, Stamp: stamp, OwnerIncarnation: 7, Echo: echo,
		Needs: []quota.Need{{ID: id, Held: held, Want: want, Waiting: want, Rate: 1000}},
	}, now)
}

// TestUseOfShareEnds guards against an owner that uses a share, or lets nodes use its tokens, when the lender already
// uses it elsewhere: the lender has sent nothing since.
func TestUseOfShareEnds(t *testing.T) {
	g, _ := newOwner(t)
	end := hour + terms.Share - terms.Token
	if s := g.Share(part, end-time.Millisecond); s != 1 {
		t.Errorf("share %g before its end", s)
	}
	before := ask(g, 1, 0, 0, 10, end-time.Millisecond)
	if before.Gifts[0].Tokens != 10 || !before.Gifts[0].Renewed {
		t.Errorf("before the end of the share: %+v", before.Gifts)
	}
	if s := g.Share(part, end); s != 0 {
		t.Errorf("share %g after its end", s)
	}
	after := ask(g, 2, before.Stamp, 10, 20, end+time.Millisecond)
	if after.Gifts[0].Tokens != 0 || after.Gifts[0].Renewed {
		t.Errorf("after the end of the share: %+v", after.Gifts)
	}
}

// TestDelayedReports guards against delayed reports that lend a share again, or describe tokens that were used since.
func TestDelayedReports(t *testing.T) {
	g, first := newOwner(t)
	g.Handle("lender", &quota.Report{Shard: part, Incarnation: 1, Stamp: 4, OwnerIncarnation: 7, Echo: first.Stamp}, hour+time.Second)
	delayed := &quota.Report{Shard: part, Incarnation: 1, Stamp: 3, OwnerIncarnation: 7, Echo: first.Stamp, Lent: 1}
	if r := g.Handle("lender", delayed, hour+time.Second); r != nil || g.Share(part, hour+time.Second) != 0 {
		t.Error("a delayed report lends the share again")
	}
	other := &quota.Report{Shard: part, Incarnation: 2, Stamp: 1, OwnerIncarnation: 6, Echo: first.Stamp, Lent: 1}
	if g.Handle("lender", other, hour+time.Second); g.Share(part, hour+time.Second) != 0 {
		t.Error("the timestamp of an earlier process of the owner lends a share")
	}
}

// TestUnconfirmed guards against tokens on their way that are granted twice, or counted as used.
func TestUnconfirmed(t *testing.T) {
	g, _ := newOwner(t)
	now := hour + terms.Share - terms.Token - time.Millisecond // the share is still in use
	sent := ask(g, 1, 0, 0, 10, now)
	if again := ask(g, 2, 0, 0, 10, now); len(again.Gifts) > 0 && again.Gifts[0].Tokens > 0 {
		t.Errorf("granted again: %+v", again.Gifts)
	}
	// The node has got the grant and used six tokens.
	used := ask(g, 3, sent.Stamp, 4, 10, now)
	if used.Gifts[0].Tokens != 6 || g.Counts().Reported != 6 {
		t.Errorf("after six were used: %+v, %+v", used.Gifts, g.Counts())
	}
}

// TestReleased guards against a stopping owner that goes on with a share.
func TestReleased(t *testing.T) {
	g, first := newOwner(t)
	out := g.Release(hour)
	if len(out["lender"]) != 1 || !out["lender"][0].Released {
		t.Fatalf("released to %v", out)
	}
	g.Handle("lender", &quota.Report{Shard: part, Incarnation: 1, Stamp: 3, OwnerIncarnation: 7, Echo: first.Stamp, Lent: 1}, hour)
	if s := g.Share(part, hour); s != 0 {
		t.Errorf("share %g after the release", s)
	}
}

// TestReturned guards against tokens of requests that waited long and were refused together, and then run together: no more
// is credited in a term than the bound has room for.
func TestReturned(t *testing.T) {
	g, _ := newOwner(t)
	g.Handle("holder", &quota.Report{
		Shard: part, Incarnation: 1, Stamp: 1, OwnerIncarnation: 7, Needs: []quota.Need{{ID: id, Returned: 1000}},
	}, hour)
	if level := g.shards[part].buckets[id].level; level <= 0 || level > bounds.Returns(limit)/2 {
		t.Errorf("%g tokens credited, want at most %g", level, bounds.Returns(limit)/2)
	}
}

// TestFairRate guards against a division that exceeds the total, wastes some of it, or favours a node.
func TestFairRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "demands")
		total := rapid.Float64Range(0, 500).Draw(t, "total")
		sum, granted := 0.0, 0.0
		for _, d := range demands {
			sum += d
		}
		fair := fairRate(demands, total)
		for _, d := range demands {
			granted += min(d, fair)
		}
		if want := min(sum, total); math.Abs(granted-want) > 1e-6 {
			t.Fatalf("%g granted of %g for %v", granted, want, demands)
		}
	})
}
