package watcher

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/record"
)

// fakeStore simulates a store, in virtual time, whose failures are set by the test.
type fakeStore struct {
	mutex     sync.Mutex
	startedAt time.Time
	trace     []string
	changes   []record.Record
	at        uint64
	silent    bool // calls time out
	refusing  bool // calls fail at once
	gone      bool // the next watch fails with Gone
	stalled   bool // watches return neither changes nor Gone
	stale     bool // cheap lists lack what was put since
	hosts     []record.Record
	changed   chan struct{}
	begunAt   time.Duration // when the last call began, by the boot-time clock
}

func (s *fakeStore) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ms: ", time.Since(s.startedAt).Milliseconds())+fmt.Sprintf(format, args...))
}

// begin traces a call and returns its error if the test has set a failure.
func (s *fakeStore) begin(ctx context.Context, format string, args ...any) error {
	s.mutex.Lock()
	s.tracef(format, args...)
	s.begunAt = clock.Clock{}.Now()
	silent, refusing := s.silent, s.refusing
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, ctx.Err(), "no answer", "")
	}
	if refusing {
		return fault.New(fault.Unavailable, "refused", "")
	}
	return nil
}

func (s *fakeStore) List(ctx context.Context, kind record.Kind, cheap bool) ([]record.Record, uint64, error) {
	if err := s.begin(ctx, "list %s, cheap %v", kind, cheap); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if kind == record.Hosts {
		if cheap && s.stale {
			return nil, s.at, nil
		}
		return slices.Clone(s.hosts), s.at, nil
	}
	return slices.Clone(s.changes), s.at, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind record.Kind, after uint64, wait time.Duration) ([]record.Record, uint64, error) {
	if err := s.begin(ctx, "watch %s from %d", kind, after); err != nil {
		return nil, 0, err
	}
	timer := time.After(wait)
	for {
		s.mutex.Lock()
		if s.gone && !s.stalled {
			s.gone = false
			s.mutex.Unlock()
			return nil, 0, fault.New(fault.Gone, "history is gone", "")
		}
		var rs []record.Record
		for _, r := range s.changes {
			if r.Revision > after {
				rs = append(rs, r)
			}
		}
		at, changed := s.at, s.changed
		if s.stalled {
			rs, at = nil, after
		}
		s.mutex.Unlock()
		if len(rs) > 0 {
			return rs, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (s *fakeStore) Unchanged(ctx context.Context, kind record.Kind, at uint64) (bool, error) {
	if err := s.begin(ctx, "poll %s from %d", kind, at); err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.at == at, nil
}

func (s *fakeStore) Delete(ctx context.Context, kind record.Kind, name string) error {
	if err := s.begin(ctx, "delete %s %s", kind, name); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = slices.DeleteFunc(s.hosts, func(r record.Record) bool { return r.Name == name })
	return nil
}

func (s *fakeStore) Put(ctx context.Context, kind record.Kind, name string, _ []byte) error {
	if err := s.begin(ctx, "put %s %s", kind, name); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = append(s.hosts, record.Record{Kind: kind, Name: name})
	return nil
}

// change replaces the configuration by a new revision.
func (s *fakeStore) change() {
	s.mutex.Lock()
	s.at++
	s.changes = []record.Record{{Kind: record.Configuration, Name: "main", Revision: s.at}}
	old := s.changed
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	close(old)
}

// set calls f and wakes the watches.
func (s *fakeStore) set(f func()) {
	s.mutex.Lock()
	f()
	old := s.changed
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	close(old)
}

// fakeCluster traces what the watcher reports and simulates the other nodes.
type fakeCluster struct {
	store     *fakeStore
	mutex     sync.Mutex
	reachable bool
	peers     []elector.Candidate
	lossy     bool // the next read is lost
	lateReads int  // reads whose moment is not before their call
	reads     []time.Duration
}

func (f *fakeCluster) AddRecords(rs []record.Record) {
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	for _, r := range rs {
		f.store.tracef("added %s at %d", r.Kind, r.Revision)
	}
}

func (f *fakeCluster) AddRead(rs []record.Record, began time.Duration) bool {
	f.mutex.Lock()
	lost := f.lossy
	f.lossy = false
	f.reads = append(f.reads, time.Since(f.store.startedAt))
	f.store.mutex.Lock()
	if began > f.store.begunAt {
		f.lateReads++
	}
	f.store.mutex.Unlock()
	f.mutex.Unlock()
	if !lost {
		f.AddRecords(rs)
	}
	return !lost
}

func (f *fakeCluster) AddAddresses([]string) {}

func (f *fakeCluster) SetStoreReachable(reachable bool, _ time.Duration) {
	f.mutex.Lock()
	changed := f.reachable != reachable
	f.reachable = reachable
	f.mutex.Unlock()
	if changed {
		f.store.mutex.Lock()
		f.store.tracef("store reachable: %v", reachable)
		f.store.mutex.Unlock()
	}
}

func (f *fakeCluster) YieldWatch() {}

func (f *fakeCluster) PollInterval() time.Duration { return 600 * time.Millisecond } // of the test

func (f *fakeCluster) Nodes() []elector.Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.peers
}

func (f *fakeCluster) Self() elector.Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return elector.Candidate{Address: "m", StoreReachable: f.reachable, Alive: true}
}

// TestWatchKind guards against changes that are missed after a failure of the store, and reads that prove too much. Each case changes the store at set
// times; the golden file shows the calls and what was added.
func TestWatchKind(t *testing.T) {
	type event struct {
		at time.Duration
		do func(*fakeStore, *fakeCluster)
	}
	changeConfig := func(s *fakeStore, _ *fakeCluster) { s.change() }
	setPeers := func(n int) func(*fakeStore, *fakeCluster) {
		return func(_ *fakeStore, f *fakeCluster) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.peers = nil
			for i := range n {
				f.peers = append(f.peers, elector.Candidate{Address: fmt.Sprintf("a%d", i), StoreReachable: true, Alive: true})
			}
		}
	}
	cases := []struct {
		name   string
		events []event
		until  time.Duration
	}{
		{"polled", []event{ // the node of the second rank
			{100 * time.Millisecond, setPeers(1)}, {2 * time.Second, changeConfig},
			{3 * time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.at++ }) }}, // of another kind
			{4100 * time.Millisecond, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.silent = true }); s.change() }},
			{4800 * time.Millisecond, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.silent = false }) }},
			{7 * time.Second, func(_ *fakeStore, f *fakeCluster) {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.lossy = true
			}}}, 9500 * time.Millisecond},
		{"quick-succession", []event{{time.Second, changeConfig}, {1050 * time.Millisecond, changeConfig}, {1100 * time.Millisecond, changeConfig}, {3 * time.Second, changeConfig}}, 4 * time.Second},
		{"history-gone", []event{{time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.gone = true }) }}, {2 * time.Second, changeConfig}}, 3 * time.Second},
		{"stalled-watch", []event{ // a change that a watch misses must be found after a short wait
			{time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.stalled = true }); s.change() }},
			{2 * time.Second, func(s *fakeStore, _ *fakeCluster) {
				s.mutex.Lock()
				s.stalled, s.gone = false, true
				s.mutex.Unlock()
			}}}, 3500 * time.Millisecond},
		{"refused", []event{
			{time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.refusing = true }); s.change() }}, {1500 * time.Millisecond, changeConfig},
			{6 * time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.refusing = false }) }}}, 8 * time.Second},
		{"silent", []event{
			{time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.silent = true }); s.change() }},
			{14 * time.Second, func(s *fakeStore, _ *fakeCluster) { s.set(func() { s.silent = false }); s.change() }}}, 22 * time.Second},
		{"records-lost", []event{{time.Second, func(s *fakeStore, f *fakeCluster) {
			f.mutex.Lock()
			f.lossy = true
			f.mutex.Unlock()
			s.change()
		}}}, 3 * time.Second},
		{"other-nodes-watch", []event{{100 * time.Millisecond, setPeers(4)}, {2 * time.Second, setPeers(3)}, {3 * time.Second, changeConfig}}, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{startedAt: time.Now(), at: 1, changes: []record.Record{{Kind: record.Configuration, Name: "main", Revision: 1}}, changed: make(chan struct{})}
				f := &fakeCluster{store: s}
				w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: f, node: "m"}
				if c.name == "polled" {
					w.provers = []prover{f}
				}
				ctx, cancel := context.WithCancel(context.Background())
				end := make(chan error, 1)
				go func() { end <- w.watchKind(ctx, record.Configuration) }()
				for _, e := range c.events {
					time.Sleep(e.at - time.Since(s.startedAt))
					e.do(s, f)
				}
				time.Sleep(c.until - time.Since(s.startedAt))
				cancel()
				<-end
				goldie.New(t).Assert(t, c.name, []byte(withoutTimes(s.trace)))
				if f.lateReads > 0 {
					t.Errorf("%d reads are said to have begun after they did", f.lateReads)
				}
			})
		})
	}
}

// TestPollsAreFrequent guards against CONFIG: proofs of the configuration that are old in calm, as those of a watch are, so that nodes
// can read the store themselves only late.
func TestPollsAreFrequent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{startedAt: time.Now(), at: 1, changes: []record.Record{{Kind: record.Configuration, Name: "main", Revision: 1}}, changed: make(chan struct{})}
		f := &fakeCluster{store: s, reachable: true, peers: []elector.Candidate{{Address: "a", StoreReachable: true, Alive: true}}}
		w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: f, node: "m", provers: []prover{f}}
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- w.watchKind(ctx, record.Configuration) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-end
		for i := 1; i < len(f.reads); i++ {
			if gap := f.reads[i] - f.reads[i-1]; gap > 700*time.Millisecond {
				t.Errorf("%v between two proofs, the second at %v", gap, f.reads[i])
			}
		}
		if n := len(s.trace); n > 10*1000/600+3 {
			t.Errorf("%d calls in 10 s", n)
		}
	})
}

// withoutTimes drops the times and merges equal lines in a row, as the pauses after failures are partly random.
func withoutTimes(trace []string) string {
	var out []string
	for _, l := range trace {
		_, text, _ := strings.Cut(l, ": ")
		if n := len(out); n == 0 || out[n-1] != text {
			out = append(out, text)
		}
	}
	return strings.Join(out, "\n") + "\n"
}

// TestBackoff guards against nodes that call a failing store more often than a few times a second.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{startedAt: time.Now(), refusing: true, changed: make(chan struct{})}
		w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: &fakeCluster{store: s}, node: "m"}
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 2)
		go func() { end <- w.watchKind(ctx, record.Configuration) }()
		go func() { end <- w.maintainNodes(ctx) }()
		time.Sleep(30 * time.Second)
		cancel()
		<-end
		<-end
		if n := len(s.trace); n > 100 || n < 30 {
			t.Errorf("%d calls in 30 s of failure by two loops, want one or two a second by each", n)
		}
	})
}

// TestStart guards against starts that cost more of the store than they need, and against a node that misses others since
// a cheap list is older than its own entry.
func TestStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		stale bool
	}{{"start", false}, {"start-stale-list", true}} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{startedAt: time.Now(), stale: c.stale, changed: make(chan struct{})}
			f := &fakeCluster{store: s, peers: []elector.Candidate{{Address: "a"}}}
			w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: f, node: "m"}
			ctx, cancel := context.WithCancel(context.Background())
			end := make(chan error, 1)
			go func() { end <- w.maintainNodes(ctx) }()
			time.Sleep(relistInterval + time.Second)
			cancel()
			<-end
			goldie.New(t).Assert(t, c.name, []byte(withoutTimes(s.trace)))
		})
	}
}
