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

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/record"
)

// fakeStore is a store in virtual time whose failures are set by the test.
type fakeStore struct {
	mutex   sync.Mutex
	begun   time.Time
	trace   []string
	changes []record.Record
	at      uint64
	silent  bool // calls get no answer
	busy    bool // calls are turned away
	gone    bool // the next watch finds its history gone
	deaf    bool // watches that wait hear nothing, and their history goes
	changed chan struct{}
}

func (s *fakeStore) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ms: ", time.Since(s.begun).Milliseconds())+fmt.Sprintf(format, args...))
}

// enter notes a call and returns how it fails, if it does.
func (s *fakeStore) enter(ctx context.Context, format string, args ...any) error {
	s.mutex.Lock()
	s.note(format, args...)
	silent, busy := s.silent, s.busy
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, ctx.Err(), "no answer", "")
	}
	if busy {
		return fault.New(fault.Unavailable, "turned away", "")
	}
	return nil
}

func (s *fakeStore) List(ctx context.Context, kind record.Kind, cheap bool) ([]record.Record, uint64, error) {
	if err := s.enter(ctx, "list %s, cheap %v", kind, cheap); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.changes), s.at, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind record.Kind, after uint64, wait time.Duration) ([]record.Record, uint64, error) {
	if err := s.enter(ctx, "watch %s from %d", kind, after); err != nil {
		return nil, 0, err
	}
	timer := time.After(wait)
	for {
		s.mutex.Lock()
		if s.gone && !s.deaf {
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
		if s.deaf {
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

func (s *fakeStore) Put(ctx context.Context, kind record.Kind, name string, _ []byte) error {
	return s.enter(ctx, "put %s %s", kind, name)
}

// change adds a version of the configuration.
func (s *fakeStore) change() {
	s.mutex.Lock()
	s.at++
	s.changes = []record.Record{{Kind: record.Configuration, Name: "main", Revision: s.at}}
	old := s.changed
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	close(old)
}

func (s *fakeStore) set(f func()) {
	s.mutex.Lock()
	f()
	old := s.changed
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	close(old)
}

// fakeSpreader notes what is learned and plays the other nodes.
type fakeSpreader struct {
	store   *fakeStore
	mutex   sync.Mutex
	reaches bool
	peers   []elector.Candidate
}

func (f *fakeSpreader) AddRecords(rs []record.Record) {
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	for _, r := range rs {
		f.store.note("learned %s at %d", r.Kind, r.Revision)
	}
}

func (f *fakeSpreader) AddAddresses([]string) {}

func (f *fakeSpreader) SetStoreReachable(ok bool, _ time.Duration) {
	f.mutex.Lock()
	changed := f.reaches != ok
	f.reaches = ok
	f.mutex.Unlock()
	if changed {
		f.store.mutex.Lock()
		f.store.note("store answers: %v", ok)
		f.store.mutex.Unlock()
	}
}

func (f *fakeSpreader) Nodes() []elector.Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.peers
}

func (f *fakeSpreader) Self() elector.Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return elector.Candidate{Address: "m", StoreReachable: f.reaches, Alive: true}
}

// TestFollow guards against news that is missed after a failure of the store, and against calls without end while it
// lasts. Each case changes the store at set times; the golden file shows every call.
func TestFollow(t *testing.T) {
	type change struct {
		at time.Duration
		do func(*fakeStore, *fakeSpreader)
	}
	news := func(s *fakeStore, _ *fakeSpreader) { s.change() }
	peer := func(n int) func(*fakeStore, *fakeSpreader) {
		return func(_ *fakeStore, f *fakeSpreader) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.peers = nil
			for i := range n {
				f.peers = append(f.peers, elector.Candidate{Address: fmt.Sprintf("a%d", i), StoreReachable: true, Alive: true})
			}
		}
	}
	cases := []struct {
		name    string
		changes []change
		until   time.Duration
	}{
		{"quick-succession", []change{{time.Second, news}, {1050 * time.Millisecond, news}, {1100 * time.Millisecond, news}, {3 * time.Second, news}}, 4 * time.Second},
		{"history-gone", []change{{time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.gone = true }) }}, {2 * time.Second, news}}, 3 * time.Second},
		{"deaf-watch", []change{ // a change while watches hear nothing must not wait for the end of a long watch
			{time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.deaf = true }); s.change() }},
			{2 * time.Second, func(s *fakeStore, _ *fakeSpreader) {
				s.mutex.Lock()
				s.deaf, s.gone = false, true
				s.mutex.Unlock()
			}}}, 3500 * time.Millisecond},
		{"turned-away", []change{
			{time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.busy = true }); s.change() }}, {1500 * time.Millisecond, news},
			{6 * time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.busy = false }) }}}, 8 * time.Second},
		{"silent", []change{
			{time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.silent = true }); s.change() }},
			{14 * time.Second, func(s *fakeStore, _ *fakeSpreader) { s.set(func() { s.silent = false }); s.change() }}}, 22 * time.Second},
		{"others-watch", []change{{100 * time.Millisecond, peer(4)}, {2 * time.Second, peer(3)}, {3 * time.Second, news}}, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{begun: time.Now(), at: 1, changes: []record.Record{{Kind: record.Configuration, Name: "main", Revision: 1}}, changed: make(chan struct{})}
				f := &fakeSpreader{store: s}
				w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, spreader: f, node: "m"}
				ctx, cancel := context.WithCancel(context.Background())
				end := make(chan error, 1)
				go func() { end <- w.follow(ctx, record.Configuration) }()
				for _, g := range c.changes {
					time.Sleep(g.at - time.Since(s.begun))
					g.do(s, f)
				}
				time.Sleep(c.until - time.Since(s.begun))
				cancel()
				<-end
				goldie.New(t).Assert(t, c.name, []byte(coarse(s.trace)))
			})
		})
	}
}

// coarse keeps what happened but not when or how often, as the pauses after failures have a random part.
func coarse(trace []string) string {
	var out []string
	for _, l := range trace {
		_, what, _ := strings.Cut(l, ": ")
		if n := len(out); n == 0 || out[n-1] != what {
			out = append(out, what)
		}
	}
	return strings.Join(out, "\n") + "\n"
}

// TestStormOfCalls guards against nodes that call a store which is down more often than a few times a second.
func TestStormOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{begun: time.Now(), busy: true, changed: make(chan struct{})}
		w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, spreader: &fakeSpreader{store: s}, node: "m"}
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 2)
		go func() { end <- w.follow(ctx, record.Configuration) }()
		go func() { end <- w.enter(ctx) }()
		time.Sleep(30 * time.Second)
		cancel()
		<-end
		<-end
		if n := len(s.trace); n > 100 || n < 30 {
			t.Errorf("%d calls in 30 s of failure by two loops, want one or two a second by each", n)
		}
	})
}
