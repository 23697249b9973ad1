package gossiper

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/revalidator"
	"wisteriaspoke.example/mesh/watcher"
)

// watchingNode is the node for which kernel.New makes a kernel.
var watchingNode *storeNode

func init() {
	kernel.Register("node under test", 1, func() kernel.Part { return watchingNode })
}

// sharedStore is a fake of the store that all nodes use; it refuses or ignores the calls of some.
type sharedStore struct {
	mutex   sync.Mutex
	version uint64
	silent  bool          // calls that are not served time out instead of failing at once
	delay   time.Duration // of each answer
	refused func(address string) bool
	changed chan struct{}
	calls   int // that were not served
	lists   int
}

// set changes the store and wakes the watches.
func (s *sharedStore) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeNode is a node with the store, for its watcher.
type storeNode struct {
	*node
	store *sharedStore
}

func (n *storeNode) Config() machine.Config { return n.config }

// BootTime returns the virtual time.
func (n *storeNode) BootTime() time.Duration { return time.Since(time.UnixMilli(0)) }

// begin returns the error of a call that is not served.
func (n *storeNode) begin(ctx context.Context) error {
	s := n.store
	s.mutex.Lock()
	refused, silent := s.refused(n.address), s.silent
	if refused {
		s.calls++
	}
	s.mutex.Unlock()
	switch {
	case refused && silent:
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, ctx.Err(), "no answer", "wait")
	case refused:
		return fault.New(fault.Unavailable, "refused", "wait")
	}
	return nil
}

func (n *storeNode) List(ctx context.Context, kind record.Kind, _ bool) ([]record.Record, uint64, error) {
	if err := n.begin(ctx); err != nil {
		return nil, 0, err
	}
	n.store.mutex.Lock()
	n.store.lists++
	rs, at, delay := n.store.records(kind), n.store.version, n.store.delay
	n.store.mutex.Unlock()
	time.Sleep(delay)
	return rs, at, nil
}

// records returns the records of the kind; the caller holds the mutex.
func (s *sharedStore) records(kind record.Kind) []record.Record {
	if kind != record.Configuration {
		return nil
	}
	return configuration(s.version, s.version)
}

func (n *storeNode) Watch(ctx context.Context, kind record.Kind, after uint64, wait time.Duration) ([]record.Record, uint64, error) {
	for end := time.After(wait); ; {
		// The store turns away waiting watches, too.
		if err := n.begin(ctx); err != nil {
			return nil, 0, err
		}
		n.store.mutex.Lock()
		rs, at, changed := n.store.records(kind), n.store.version, n.store.changed
		n.store.mutex.Unlock()
		if len(rs) > 0 && at > after {
			return rs, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fault.Unavailable, ctx.Err(), "no answer", "wait")
		case <-end:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (n *storeNode) Unchanged(ctx context.Context, _ record.Kind, at uint64) (bool, error) {
	if err := n.begin(ctx); err != nil {
		return false, err
	}
	n.store.mutex.Lock()
	unchanged, delay := n.store.version == at, n.store.delay
	n.store.mutex.Unlock()
	time.Sleep(delay)
	return unchanged, nil
}

func (n *storeNode) Delete(context.Context, record.Kind, string) error { return nil }
func (n *storeNode) Put(ctx context.Context, _ record.Kind, _ string, _ []byte) error {
	return n.begin(ctx)
}

// startWatching starts nodes with their watchers and returns a function that ends them. With apply above 0, the nodes
// bound the age of their configuration by it.
func startWatching(t *testing.T, n *network, s *sharedStore, addresses []string, apply time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var ends []<-chan error
	for _, a := range addresses {
		var k *kernel.Kernel
		n.startWith(a, func(x *node) {
			watchingNode = &storeNode{x, s}
			k = kernel.New()
			k.Log = slog.New(slog.DiscardHandler)
			for _, r := range kernel.All[*revalidator.Revalidator](k) {
				r.Apply = apply
				x.prover, x.handles = findProver(k), r.Handle
			}
		}, addresses...)
		for _, r := range kernel.All[*revalidator.Revalidator](k) {
			end, err := r.Start(ctx, k)
			if err != nil {
				t.Fatal(err)
			}
			if end != nil {
				ends = append(ends, end)
			}
		}
		for _, w := range kernel.All[*watcher.Watcher](k) {
			end, err := w.Start(ctx, k)
			if err != nil {
				t.Fatal(err)
			}
			ends = append(ends, end)
		}
	}
	return func() {
		cancel()
		for _, end := range ends {
			<-end
		}
		for a := range n.nodes {
			n.kill(a)
		}
	}
}

// TestConfigurationAfterOutage guards against CONFIG: after an outage of the store nobody reads a new configuration, as the
// few nodes that called the store since are turned away, and all others count as not reaching it.
func TestConfigurationAfterOutage(t *testing.T) {
	const configApply, skewMax = 2500 * time.Millisecond, 5 * time.Second
	const allFailed = 1500 * time.Millisecond // after the begin of an outage, each node has called the store
	const maxCallsPerSecond = 5 * 2           // two by each watch, as in TestBackoff of the watcher: three of the configuration, two of the orders
	addresses := []string{"a1-x", "a1-y", "a2-x", "b1-x", "b1-y", "b2-x", "c1-x", "c1-y", "c2-x"}
	all := func(string) bool { return true }
	none := func(string) bool { return false }
	first := func(n int) func(string) bool {
		return func(address string) bool { return slices.Index(addresses, address) < n }
	}
	cases := []struct {
		name       string
		outage     time.Duration
		silent     bool // instead of refused at once
		turnedAway func(string) bool
		isolated   []string // nodes that the others cannot reach at the change
		bound      time.Duration
	}{
		{"all are served", 4500 * time.Millisecond, false, none, nil, configApply},
		{"the watchers are turned away", 4500 * time.Millisecond, false, first(3), nil, configApply},
		{"two thirds are turned away", 4500 * time.Millisecond, false, first(6), nil, configApply},
		{"all but the last are turned away", 4500 * time.Millisecond, false, first(8), nil, configApply + skewMax},
		{"silence, the watchers get no answer", 4500 * time.Millisecond, true, first(3), nil, configApply + skewMax},
		{"long outage", 30 * time.Second, false, first(3), nil, configApply},
		{"a region is cut off", 4500 * time.Millisecond, false, first(4), []string{"a1-x", "a1-y", "a2-x"}, configApply},
	}
	for _, c := range cases {
		for seed := range 5 { // the pauses after failures are partly random
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					s := &sharedStore{version: 7, refused: none, silent: c.silent, changed: make(chan struct{})}
					stop := startWatching(t, n, s, addresses, 0)
					defer stop()
					time.Sleep(8 * time.Second)
					s.set(func() { s.refused = all })
					time.Sleep(allFailed)
					s.set(func() { s.calls = 0 })
					time.Sleep(c.outage - allFailed)
					s.mutex.Lock()
					if perSecond := float64(s.calls) / (c.outage - allFailed).Seconds(); perSecond > maxCallsPerSecond {
						t.Errorf("%.1f calls a second during the outage", perSecond)
					}
					s.mutex.Unlock()
					s.set(func() { s.refused = none })
					time.Sleep(4 * time.Second)
					n.isolate(c.isolated...)
					s.set(func() { s.refused = c.turnedAway })
					time.Sleep(300 * time.Millisecond)
					s.set(func() { s.version = 9 })
					time.Sleep(c.bound)
					synctest.Wait()
					for _, a := range addresses {
						p := n.nodes[a].View().Plan()
						if !slices.Contains(c.isolated, a) && (p == nil || p.Version() != 9) {
							t.Errorf("%s does not have the configuration after %v", a, c.bound)
						}
					}
				})
			})
		}
	}
}

// watchedAddresses are 18 nodes in three regions; the first three watch the store.
var watchedAddresses = []string{
	"a1-w", "a1-x", "a1-y", "a2-w", "a2-x", "a2-y", "b1-w", "b1-x", "b1-y", "b2-w", "b2-x", "b2-y", "c1-w", "c1-x", "c1-y", "c2-w", "c2-x", "c2-y",
}

// playChange has the nodes watch the store, begins a fault at one of several moments, as its effect depends on when
// watches and heartbeats began, and changes the configuration. It checks that all nodes but the lost ones then have it in time.
func playChange(t *testing.T, phase int, begin func(n *network, s *sharedStore), lost []string) {
	const configApply, phaseStep = 2500 * time.Millisecond, 170 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		s := &sharedStore{version: 7, refused: func(string) bool { return false }, changed: make(chan struct{})}
		stop := startWatching(t, n, s, watchedAddresses, configApply)
		defer stop()
		time.Sleep(12*time.Second + time.Duration(phase)*phaseStep)
		synctest.Wait()
		begin(n, s)
		s.set(func() { s.version = 9 })
		time.Sleep(configApply)
		synctest.Wait()
		for _, a := range watchedAddresses {
			p := n.nodes[a].View().Plan()
			if !slices.Contains(lost, a) && (p == nil || p.Version() != 9) {
				t.Errorf("%s does not have the configuration after %v", a, configApply)
			}
		}
	})
}

const changePhases = 8

// TestConfigurationAfterSilentLoss guards against CONFIG: hosts that watch the store lose power, no connection is reset, and all
// others leave the watch to them until their heartbeats are overdue, up to 7.8 s later.
func TestConfigurationAfterSilentLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		lost []string
	}{
		{"the watchers", watchedAddresses[:3]},
		{"the watchers' region", watchedAddresses[:6]},
		{"the watchers and most others", slices.Concat(watchedAddresses[:5], watchedAddresses[6:11], watchedAddresses[12:14])},
		{"all but two", watchedAddresses[:16]},
	} {
		for _, changed := range []bool{false, true} {
			for phase := range changePhases {
				t.Run(fmt.Sprintf("%s, changed before %v, %d", c.name, changed, phase), func(t *testing.T) {
					playChange(t, phase, func(n *network, s *sharedStore) {
						if changed {
							// The proofs that the others have are young then.
							s.set(func() { s.version = 8 })
							time.Sleep(300 * time.Millisecond)
						}
						n.silence(c.lost...)
						// Watches that wait get no answer.
						s.set(func() { s.refused, s.silent = func(a string) bool { return slices.Contains(c.lost, a) }, true })
					}, c.lost)
				})
			}
		}
	}
}

// TestConfigurationPastOneConfirmation guards against CONFIG: the node of a region that gets a configuration first confirms it for
// all and cannot pass it on, so that the others of the region are not told.
func TestConfigurationPastOneConfirmation(t *testing.T) {
	for phase := range changePhases {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			playChange(t, phase, func(n *network, _ *sharedStore) {
				confirming := map[string]bool{}
				for _, a := range watchedAddresses[:3] {
					// The order of remoteNodes.
					confirming[slices.MinFunc(watchedAddresses[6:12], func(x, y string) int { return cmp.Compare(rank(a, x), rank(a, y)) })] = true
				}
				n.mutex.Lock()
				defer n.mutex.Unlock()
				n.severed = func(from, to string) bool {
					return from[0] == 'b' && to[0] == 'b' && (confirming[from] || confirming[to])
				}
			}, nil)
		})
	}
}

// TestConfigurationOnSilentLinks guards against CONFIG: all connections between nodes go silent and count as open, so that each node
// has to read the store itself, and in the worst phase of the reads before does so after the bound, or with nothing left of it for a
// slow host. The store's answers take as long as on the operators' days with a slow store. If the watchers have lost power before,
// the nodes have young proofs by reads of their own region.
func TestConfigurationOnSilentLinks(t *testing.T) {
	const configApply, answer = 2500 * time.Millisecond, 388 * time.Millisecond
	const phases, phaseStep, changes, changeStep = 6, 210 * time.Millisecond, 2, 820 * time.Millisecond
	for _, perRegion := range []int{3, 10} {
		for _, watchersLost := range []bool{false, true} {
			var addresses []string
			for _, region := range []string{"a", "b", "c"} {
				for i := range perRegion {
					addresses = append(addresses, fmt.Sprintf("%s%d-%02d", region, i%2, i))
				}
			}
			watchers := addresses[:3]
			var worst time.Duration
			for i := range phases * changes {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					s := &sharedStore{version: 7, refused: func(string) bool { return false }, changed: make(chan struct{})}
					stop := startWatching(t, n, s, addresses, configApply)
					defer stop()
					time.Sleep(12 * time.Second)
					nodes := addresses
					if watchersLost {
						nodes = addresses[3:]
						n.silence(watchers...)
						s.set(func() { s.refused, s.silent = func(a string) bool { return slices.Contains(watchers, a) }, true })
						time.Sleep(1500 * time.Millisecond)
					}
					time.Sleep(time.Duration(i%phases) * phaseStep)
					s.set(func() { s.delay = answer })
					n.silence(addresses...)
					time.Sleep(time.Duration(i/phases) * changeStep)
					s.set(func() { s.version = 9 })
					began := time.Now()
					for _, a := range nodes {
						for n.nodes[a].View().Plan().Version() != 9 && time.Since(began) < 2*configApply {
							time.Sleep(5 * time.Millisecond)
						}
					}
					worst = max(worst, time.Since(began))
				})
			}
			t.Logf("%d nodes a region, watchers lost before %t: the last node has the configuration after %v at the worst", perRegion, watchersLost, worst)
			if worst > configApply {
				t.Errorf("%d nodes a region, watchers lost before %t: %v, the bound is %v", perRegion, watchersLost, worst, configApply)
			}
		}
	}
}
