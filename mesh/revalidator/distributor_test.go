package revalidator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// scenario is a fault that begins at 6 s.
type scenario struct {
	name  string
	begin func(s *simulation)
	end   time.Duration // of the fault, after its begin; 0 for none
	undo  func(s *simulation)
	reach func(h *host) bool // hosts that have a path to the store
	calm  bool               // their proofs must stay younger than 0.6 of --revoke
}

var all = func(*host) bool { return true }

func except(names ...string) func(h *host) bool {
	return func(h *host) bool {
		for _, n := range names {
			if h.name == n {
				return false
			}
		}
		return true
	}
}

func isolate(s *simulation, inside func(h *host) bool) {
	s.blocked = func(from, to *host) bool { return inside(from) != inside(to) }
}

func heal(s *simulation) { s.blocked = func(*host, *host) bool { return false } }

var scenarios = []scenario{
	{name: "calm", reach: all, calm: true},
	{name: "first watcher killed", begin: func(s *simulation) { s.host("a0").dead = true }, reach: except("a0"), calm: true},
	{name: "second watcher killed", begin: func(s *simulation) { s.host("b0").dead = true }, reach: except("b0"), calm: true},
	{name: "both first watchers killed", begin: func(s *simulation) { s.host("a0").dead, s.host("b0").dead = true, true }, reach: except("a0", "b0"), calm: true},
	{name: "all watchers suspended for 8 s", begin: func(s *simulation) {
		for n := range s.waits {
			s.host(n).suspended = true
		}
	}, end: 8 * time.Second, undo: func(s *simulation) {
		for n := range s.waits {
			s.host(n).suspended = false
		}
	}, reach: except("a0", "b0", "a1"), calm: true},
	{name: "a host suspended for 8 s", begin: func(s *simulation) { s.host("c1").suspended = true }, end: 8 * time.Second,
		undo: func(s *simulation) { s.host("c1").suspended = false }, reach: except("c1"), calm: true},
	{name: "a region cut off, store reached", begin: func(s *simulation) { isolate(s, func(h *host) bool { return h.region == "c" }) }, end: 12 * time.Second, undo: heal, reach: all, calm: true},
	{name: "a host cut off, also from the store", begin: func(s *simulation) {
		isolate(s, func(h *host) bool { return h.name == "b2" })
		s.host("b2").noStore = 2
	}, end: 12 * time.Second, undo: func(s *simulation) { heal(s); s.host("b2").noStore = 0 }, reach: except("b2"), calm: true},
	{name: "one host sends nothing to a region", begin: func(s *simulation) {
		s.blocked = func(from, to *host) bool { return from.name == "a0" && to.region != "a" }
	}, end: 12 * time.Second, undo: heal, reach: all, calm: true},
	{name: "one host gets nothing from its region", begin: func(s *simulation) {
		s.blocked = func(from, to *host) bool { return to.name == "c2" }
	}, end: 12 * time.Second, undo: heal, reach: all, calm: true},
	{name: "all messages to a region held up for 3 s", begin: func(s *simulation) {
		s.delay = func(_, to *host) time.Duration {
			if to.region == "c" {
				return 3 * time.Second
			}
			return 0
		}
	}, end: 12 * time.Second, undo: func(s *simulation) {
		s.delay = func(*host, *host) time.Duration { return 0 }
	}, reach: all},
	{name: "store refuses half of the hosts, watchers too, for 9 s", begin: func(s *simulation) {
		for i, h := range s.hosts {
			if i < 3 || i%2 == 0 {
				h.noStore = 1
			}
		}
	}, end: 9 * time.Second, undo: storeBack, reach: all, calm: true},
	{name: "store silent for half of the hosts for 9 s", begin: func(s *simulation) {
		for i, h := range s.hosts {
			if i < 3 || i%2 == 1 {
				h.noStore = 2
			}
		}
	}, end: 9 * time.Second, undo: storeBack, reach: all, calm: true},
	{name: "store out for all for 9 s", begin: func(s *simulation) {
		for _, h := range s.hosts {
			h.noStore = 2
		}
	}, end: 9 * time.Second, undo: storeBack, reach: all},
	{name: "a watcher's clock stands still for 4 s", begin: func(s *simulation) { s.host("a0").stopped += 4 * time.Second }, reach: except("a0")},
	{name: "a host restarts", begin: func(s *simulation) { s.host("c3").restart(2) }, reach: all, calm: true},
	{name: "the relays of a region suspended", begin: func(s *simulation) {
		for _, n := range s.host("a0").relaysOf("c") {
			s.host(n.Address).suspended = true
		}
	}, end: 8 * time.Second, undo: func(s *simulation) {
		for _, h := range s.hosts {
			h.suspended = false
		}
	}, reach: func(h *host) bool { return h.region != "c" }, calm: true},
}

func storeBack(s *simulation) {
	for _, h := range s.hosts {
		h.noStore = 0
	}
}

// TestScenarios guards against proofs that grow old although a path to the store exists, many calls to the store or bytes,
// and periods of refusals that do not end. The golden file shows 20 s from the begin of each fault.
func TestScenarios(t *testing.T) {
	var out strings.Builder
	for _, c := range scenarios {
		s := newTestSimulation(t)
		begin := s.now
		if c.begin != nil {
			c.begin(s)
		}
		if c.end > 0 {
			s.advance(begin + c.end)
			c.undo(s)
		}
		s.advance(begin + 20*time.Second)
		for _, h := range s.hosts {
			if c.calm && c.reach(h) && (h.worst >= time.Duration(0.6*float64(revokeAfter)) || h.refusedFor > 0 && c.name != "a host restarts") {
				t.Errorf("%s: at %s the proof is %v old", c.name, h.name, h.worst)
			}
			if !h.dead && c.name != "a watcher's clock stands still for 4 s" && !h.fresh(h.plan) {
				t.Errorf("%s: %s still refuses 8 s or more after the end", c.name, h.name)
			}
		}
		out.WriteString(s.summarize(c.name, begin, c.reach))
	}
	goldie.New(t).Assert(t, "scenarios", []byte(out.String()))
}

// TestNeverAfterRevocation guards against requests with a key that run more than --revoke after the store acknowledged a
// configuration without it: each fault with a revocation at each moment around its begin and its end. The check is in
// simulation.advance.
func TestNeverAfterRevocation(t *testing.T) {
	for _, c := range scenarios {
		for shift := -3 * time.Second; shift <= 10*time.Second; shift += 500 * time.Millisecond {
			s := newSimulation(func(format string, args ...any) { t.Fatalf(c.name+": "+format, args...) }, names...)
			events := []struct {
				at time.Duration
				do func()
			}{{6 * time.Second, func() {
				if c.begin != nil {
					c.begin(s)
				}
			}}, {6*time.Second + c.end, func() {
				if c.end > 0 {
					c.undo(s)
				}
			}}}
			changeAt, changed := 6*time.Second+shift, false
			for _, e := range events {
				if !changed && changeAt <= e.at {
					s.advance(changeAt)
					s.change()
					changed = true
				}
				s.advance(e.at)
				e.do()
			}
			if !changed {
				s.advance(changeAt)
				s.change()
			}
			s.advance(s.now + 12*time.Second)
		}
	}
}

// TestAnyFaults guards against the same under faults in any order, number and overlap.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t.Fatalf, names[:8]...)
		pick := rapid.IntRange(0, len(s.hosts)-1)
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			h, o := s.hosts[pick.Draw(t, "host")], s.hosts[pick.Draw(t, "other")]
			length := time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			blocked, delay := s.blocked, s.delay
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0:
				s.blocked = func(from, to *host) bool { return from == h && to == o || blocked(from, to) }
			case 1:
				s.blocked = func(from, to *host) bool { return (from == h) != (to == h) || blocked(from, to) }
			case 2:
				held := time.Duration(rapid.IntRange(0, 6000).Draw(t, "held")) * time.Millisecond
				s.delay = func(from, to *host) time.Duration {
					if from == h || to == o {
						return held
					}
					return delay(from, to)
				}
			case 3:
				h.suspended = true
			case 4:
				h.noStore = rapid.IntRange(0, 2).Draw(t, "store")
			case 5:
				h.restart(h.incarnation + 1)
			case 6:
				heal(s)
				s.delay = func(*host, *host) time.Duration { return 0 }
			case 7:
				for _, x := range s.hosts {
					x.suspended = false
				}
			}
			if rapid.Bool().Draw(t, "revoke") {
				s.change()
			}
			s.advance(s.now + length)
		}
		for _, x := range s.hosts {
			x.suspended = false
		}
		s.advance(s.now + 2*time.Second)
	})
}

// TestLargeRegion guards against nodes of a large region that wait too long for others to read the store, and against a store
// that is called by all nodes at once or ever more while it is out.
func TestLargeRegion(t *testing.T) {
	const count = 60
	var large []string
	for i := range count {
		large = append(large, fmt.Sprintf("a%02d", i))
	}
	var out strings.Builder
	for _, c := range []struct {
		name  string
		begin func(s *simulation)
	}{
		{"no message arrives in time", func(s *simulation) {
			s.delay = func(*host, *host) time.Duration { return 4 * time.Second }
		}},
		{"store refuses all but one", func(s *simulation) {
			for _, h := range s.hosts[:count-1] {
				h.noStore = 1
			}
		}},
		{"store refuses all", func(s *simulation) {
			for _, h := range s.hosts {
				h.noStore = 1
			}
		}},
	} {
		s := newSimulation(t.Fatalf, large...)
		s.advance(6 * time.Second)
		s.summarize("", 0, all)
		c.begin(s)
		begin := s.now
		s.advance(begin + 20*time.Second)
		out.WriteString(s.summarize(c.name, begin, all))
	}
	goldie.New(t).Assert(t, "large-region", []byte(out.String()))
}

// TestProofs guards against a node that is stopped by a proof of a version that it does not have yet, and against proofs
// that accumulate.
func TestProofs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ps proofs
		var given []proof
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			p := proof{moment: time.Duration(rapid.IntRange(1, 20).Draw(t, "moment")), version: rapid.Uint64Range(1, 8).Draw(t, "version")}
			given = append(given, p)
			ps, _ = ps.add(p)
		}
		for version := uint64(0); version <= 9; version++ {
			want := time.Duration(0)
			for _, p := range given {
				if p.version <= version {
					want = max(want, p.moment)
				}
			}
			if got, _ := ps.newest(version); got != want {
				t.Fatalf("version %d: %v, want %v of %v", version, got, want, given)
			}
		}
	})
}
