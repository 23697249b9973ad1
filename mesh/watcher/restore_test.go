package watcher

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/record"
)

// TestEntryAfterRestore guards against a node whose entry is lost in a restore of the store, so that nodes that start later
// miss it, and against writes of entries that the restored store still has.
func TestEntryAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name    string
		restore func(s *fakeStore)
	}{
		{"restore-loses-entry", func(s *fakeStore) { s.at, s.hosts = record.Position(1, 3), nil }},
		{"restore-keeps-entry", func(s *fakeStore) { s.at = record.Position(1, 3) }},
		{"restore-during-outage", func(s *fakeStore) { s.at, s.hosts, s.refusing = record.Position(2, 3), nil, true }},
		{"stale-list", func(s *fakeStore) { s.stale = true }},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{startedAt: time.Now(), at: 9, changed: make(chan struct{})}
			w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: &fakeCluster{store: s, peers: []elector.Candidate{{Address: "a"}}}, node: "m"}
			ctx, cancel := context.WithCancel(context.Background())
			end := make(chan error, 1)
			go func() { end <- w.maintainNodes(ctx) }()
			time.Sleep(relistInterval / 2)
			s.set(func() { c.restore(s) })
			time.Sleep(relistInterval)
			s.set(func() { s.refusing = false })
			time.Sleep(2 * relistInterval)
			cancel()
			<-end
			goldie.New(t).Assert(t, c.name, []byte(withoutTimes(s.trace)))
		})
	}
}

// TestEntryWritesAreSpread guards against 8,600 nodes that write their entries at once after a restore, also if their lists
// fall into the same moment, as after a loss of power.
func TestEntryWritesAreSpread(t *testing.T) {
	const nodes, maxPerSecond = 8600, 400
	synctest.Test(t, func(t *testing.T) {
		var writes []time.Duration
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, nodes)
		var stores []*fakeStore
		peers := make([]elector.Candidate, nodes-1)
		for range nodes {
			s := &fakeStore{startedAt: time.Now(), at: 9, changed: make(chan struct{})}
			stores = append(stores, s)
			w := &Watcher{log: slog.New(slog.DiscardHandler), store: s, cluster: &fakeCluster{store: s, peers: peers}, node: "m"}
			go func() { end <- w.maintainNodes(ctx) }()
		}
		time.Sleep(relistInterval / 2)
		for _, s := range stores {
			s.set(func() { s.at, s.hosts, s.trace = record.Position(1, 3), nil, nil })
		}
		time.Sleep(3 * relistInterval)
		cancel()
		for range nodes {
			<-end
		}
		for _, s := range stores {
			for _, line := range s.trace {
				at, call, _ := strings.Cut(strings.TrimSpace(line), " ms: ")
				if strings.HasPrefix(call, "put") {
					d, err := time.ParseDuration(at + "ms")
					if err != nil {
						t.Fatal(err)
					}
					writes = append(writes, d)
				}
			}
		}
		if len(writes) != nodes {
			t.Fatalf("%d of %d nodes wrote their entries", len(writes), nodes)
		}
		slices.Sort(writes)
		for i := maxPerSecond; i < len(writes); i++ {
			if writes[i] < writes[i-maxPerSecond]+time.Second {
				t.Fatalf("more than %d nodes write within a second of %v", maxPerSecond, writes[i-maxPerSecond])
			}
		}
	})
}
