package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/arbiter"
	"wisteriaspoke.example/mesh/ledger"
	"wisteriaspoke.example/mesh/ranker"
)

const (
	holdTime = 10 * time.Minute
	// maxViewLag is the longest time until a node has applied a change of members, promise P8 of docs/design.md.
	maxViewLag = 3 * time.Second
)

type decide func(created time.Time, replies []arbiter.Reply, owners, pending int) (arbiter.Decision, answer.Answer)

// fleet is a model of nodes with ledgers, delayed views of the members, and attempts whose messages interleave.
type fleet struct {
	t           *rapid.T
	decide      decide
	onViolation func(key string, runs int)
	now         time.Time
	joined      map[string]time.Time // true members
	nodes       map[string]*owner
	changes     []viewChange
	attempts    []*attempt
	keys        []string
	created     map[string]time.Time
	runs        map[string]int
	lastID      uint64
}

type owner struct {
	ledger  ledger.Ledger
	view    ranker.Ranker
	applied int // number of changes that the view includes
}

type viewChange struct {
	at     time.Time
	joined map[string]time.Time
}

type attempt struct {
	id      uint64
	key     string
	toAsk   []string
	asked   []string
	owners  int
	replies []arbiter.Reply
}

func newFleet(t *rapid.T, d decide) *fleet {
	f := &fleet{
		t: t, decide: d, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		joined: map[string]time.Time{}, nodes: map[string]*owner{}, created: map[string]time.Time{}, runs: map[string]int{},
	}
	f.onViolation = func(key string, runs int) { t.Fatalf("key %s ran %d times", key, runs) }
	for i := range 5 {
		f.joined[fmt.Sprintf("n%d", i)] = f.now
	}
	f.record()
	for n := range f.joined {
		f.start(n)
	}
	f.now = f.now.Add(time.Minute)
	return f
}

func (f *fleet) start(n string) {
	f.nodes[n] = &owner{
		ledger: ledger.Ledger{Retention: holdTime, MaxBytes: 1 << 20, MaxRecords: 1000},
		view:   ranker.New(f.changes[len(f.changes)-1].joined), applied: len(f.changes),
	}
}

func (f *fleet) record() {
	members := map[string]time.Time{}
	for n, at := range f.joined {
		members[n] = at
	}
	f.changes = append(f.changes, viewChange{at: f.now, joined: members})
}

// applyChanges updates the views: changes older than maxViewLag always, later ones at random.
func (f *fleet) applyChanges() {
	for _, n := range names(f.nodes) {
		o := f.nodes[n]
		for o.applied < len(f.changes) {
			c := f.changes[o.applied]
			if f.now.Sub(c.at) < maxViewLag && !rapid.Bool().Draw(f.t, "applies early") {
				break
			}
			o.view = o.view.WithMembers(c.joined, f.now, holdTime)
			o.applied++
		}
	}
}

func names[T any](m map[string]T) []string {
	var out []string
	for i := range 8 {
		if _, ok := m[fmt.Sprintf("n%d", i)]; ok {
			out = append(out, fmt.Sprintf("n%d", i))
		}
	}
	return out
}

func (f *fleet) begin(key string) {
	alive := names(f.nodes)
	if len(alive) == 0 {
		return
	}
	entry := rapid.SampledFrom(alive).Draw(f.t, "entry")
	f.lastID++
	toAsk := f.nodes[entry].view.Owners(key)
	f.attempts = append(f.attempts, &attempt{id: f.lastID, key: key, toAsk: toAsk, owners: len(toAsk)})
}

// advance sends the next message of one attempt, or ends it.
func (f *fleet) advance(a *attempt) {
	if len(a.toAsk) > 0 {
		name := a.toAsk[0]
		a.toAsk = a.toAsk[1:]
		o := f.nodes[name]
		lost := rapid.IntRange(0, 9).Draw(f.t, "request or reply lost")
		if o == nil || lost == 0 {
			return
		}
		since, owns := o.view.OwnerSince(a.key, name)
		fields := arbiter.Fields{Owner: owns, OwnerSince: since, RecentOwnerCount: o.view.RecentOwnerCount()}
		if owns {
			fields.Result = o.ledger.Reserve(f.now, a.key, 1, a.id, f.now.Add(time.Second))
			a.asked = append(a.asked, name)
		}
		if lost != 1 {
			a.replies = append(a.replies, arbiter.NewReply(fields))
		}
		return
	}
	decision, _ := f.decide(f.created[a.key], a.replies, a.owners, 0)
	report := func(send func(o *owner)) {
		for _, n := range a.asked {
			if o := f.nodes[n]; o != nil && rapid.IntRange(0, 4).Draw(f.t, "report lost") > 0 {
				send(o)
			}
		}
	}
	if decision == arbiter.Run {
		f.runs[a.key]++
		if f.runs[a.key] > 1 {
			f.onViolation(a.key, f.runs[a.key])
		}
		ran := rapid.SampledFrom([]answer.Ran{answer.Yes, answer.Maybe}).Draw(f.t, "ran")
		report(func(o *owner) { o.ledger.Finish(f.now, a.key, a.id, answer.New(answer.Fields{Status: 200, Ran: ran})) })
	} else {
		report(func(o *owner) { o.ledger.Release(a.key, a.id) })
	}
	f.attempts = without(f.attempts, a)
}

func without(as []*attempt, a *attempt) []*attempt {
	var out []*attempt
	for _, o := range as {
		if o != a {
			out = append(out, o)
		}
	}
	return out
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"new key": func(*rapid.T) {
			key := fmt.Sprintf("k%d", len(f.keys))
			f.keys = append(f.keys, key)
			f.created[key] = f.now
			f.begin(key)
		},
		"resend": func(*rapid.T) {
			if len(f.keys) > 0 {
				f.begin(rapid.SampledFrom(f.keys).Draw(f.t, "key"))
			}
		},
		"advance": func(*rapid.T) {
			if len(f.attempts) > 0 {
				f.advance(rapid.SampledFrom(f.attempts).Draw(f.t, "attempt"))
			}
		},
		"finish all": func(*rapid.T) {
			for len(f.attempts) > 0 {
				f.advance(f.attempts[0])
			}
		},
		"kill": func(*rapid.T) {
			// A killed node stays a member until the others drop it.
			if alive := names(f.nodes); len(alive) > 0 {
				delete(f.nodes, rapid.SampledFrom(alive).Draw(f.t, "node"))
			}
		},
		"drop": func(*rapid.T) {
			for _, n := range names(f.joined) {
				if f.nodes[n] == nil {
					delete(f.joined, n)
				}
			}
			f.record()
		},
		"join": func(*rapid.T) {
			n := fmt.Sprintf("n%d", rapid.IntRange(0, 7).Draw(f.t, "node"))
			if f.nodes[n] != nil {
				return
			}
			f.joined[n] = f.now
			f.record()
			f.start(n)
		},
		"pass time": func(*rapid.T) {
			// Attempts end within their deadline of a second, so none spans a pause.
			for len(f.attempts) > 0 {
				f.advance(f.attempts[0])
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(f.t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { f.applyChanges() },
	}
}

// TestAtMostOnce guards against a second run of one key when many nodes die or restart, messages and replies are lost,
// members join and leave while views lag, and calls are sent again concurrently through all nodes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, arbiter.Decide)
		t.Repeat(f.actions())
	})
}

// TestOracleDetectsFaults checks that the model detects decision functions with one planted fault each.
func TestOracleDetectsFaults(t *testing.T) {
	wrong := map[string]decide{
		"ignores that owners lose their records": func(created time.Time, rs []arbiter.Reply, owners, pending int) (arbiter.Decision, answer.Answer) {
			return arbiter.Decide(created.Add(time.Hour), rs, owners, pending)
		},
		"counts one reply as a majority": func(created time.Time, rs []arbiter.Reply, owners, pending int) (arbiter.Decision, answer.Answer) {
			if r, a := arbiter.Decide(created, rs, owners, pending); r != arbiter.NotRun || len(rs) == 0 {
				return r, a
			}
			return arbiter.Decide(created, append(rs[:1:1], rs[0], rs[0]), owners, pending)
		},
	}
	for name, d := range wrong {
		t.Run(name, func(t *testing.T) {
			caught := false
			for seed := 0; seed < 500 && !caught; seed++ {
				caught = violates(seed, d)
			}
			if !caught {
				t.Error("no run found the planted fault")
			}
		})
	}
}

// violates reports whether a run of random actions with the seed runs a key twice.
func violates(seed int, d decide) bool {
	broken := false
	rapid.Custom(func(t *rapid.T) bool {
		f := newFleet(t, d)
		// A violation is recorded without failing, as a failing generator would only draw again.
		f.onViolation = func(string, int) { broken = true }
		all := f.actions()
		order := []string{"new key", "resend", "advance", "finish all", "kill", "drop", "join", "pass time"}
		for range 100 {
			all[rapid.SampledFrom(order).Draw(t, "action")](t)
			all[""](t)
		}
		return true
	}).Example(seed)
	return broken
}
