package ratelimiter

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// fakeCluster links several parts in one process.
type fakeCluster struct {
	parts   map[string]*fakePart
	tenants []*tenant.Tenant
	begun   time.Time // when the nodes started
	sent    atomic.Int64
	bytes   atomic.Int64
}

// fakePart is one part with the parts that it uses.
type fakePart struct {
	*RateLimiter
	cluster *fakeCluster
	plan    *plan.Plan
	log     lockedBuffer
}

type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func (p *fakePart) Nodes() []elector.Candidate {
	var cs []elector.Candidate
	for address := range p.cluster.parts {
		if address != p.self {
			cs = append(cs, elector.Candidate{Address: address, Alive: true, Age: time.Since(p.cluster.begun)})
		}
	}
	return cs
}
func (p *fakePart) AddressCount() int { return len(p.cluster.parts) }
func (p *fakePart) View() *view.View  { return view.New(p.plan, time.Time{}, nil) }
func (p *fakePart) Send(peer string, m message.Message) {
	data, err := encoder.Encode(m)
	if err != nil {
		panic(err)
	}
	p.cluster.sent.Add(1)
	p.cluster.bytes.Add(int64(len(data)))
	time.AfterFunc(20*time.Millisecond, func() {
		m, err := encoder.Decode(data)
		if err != nil {
			panic(err)
		}
		p.cluster.parts[peer].Handle(p.self, m)
	})
}

// startCluster starts parts in the bubble of the test.
func startCluster(t *testing.T, ctx context.Context, nodes int, ts ...*tenant.Tenant) *fakeCluster {
	begun := time.Now()
	c := &fakeCluster{parts: map[string]*fakePart{}, tenants: ts, begun: begun}
	for i := range nodes {
		p := &fakePart{cluster: c, plan: plan.New(1, plan.Limits{}, nil, nil).WithTenants(ts)}
		p.RateLimiter = &RateLimiter{
			Window: 5 * time.Second, Overage: 0.1, Slack: 20, inputs: make(chan peerMessage, inputQueueSize),
			kick: make(chan struct{}, 1), release: make(chan chan struct{}), cluster: p, sender: p, self: fmt.Sprint(i),
			now: func() time.Duration { return time.Hour*time.Duration(i) + time.Since(begun) },
		}
		p.RateLimiter.log = slog.New(slog.NewJSONHandler(&p.log, nil))
		c.parts[fmt.Sprint(i)] = p
	}
	var ends []<-chan error
	for _, p := range c.parts {
		ends = append(ends, p.start(ctx, machine.Config{Node: p.self, Incarnation: 1}))
	}
	t.Cleanup(func() {
		for _, e := range ends {
			<-e
		}
	})
	return c
}

func limited(rate, burst float64) *tenant.Tenant {
	return tenant.New(tenant.Fields{Name: "t", RatePerSecond: rate, Burst: burst})
}

// TestSingleNode guards against a mesh of one node that never takes its share, and a refusal that waits or names no time.
func TestSingleNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tn := limited(10, 10)
		p := startCluster(t, ctx, 1, tn).parts["0"]
		time.Sleep(5 * time.Second)
		ran := 0
		var waits []time.Duration
		type result struct {
			wait time.Duration
			ok   bool
		}
		results := make(chan result, 200)
		for range cap(results) {
			go func() {
				wait, ok := p.Take(ctx, tn, false)
				results <- result{wait, ok}
			}()
		}
		for range cap(results) {
			if r := <-results; r.ok {
				ran++
			} else {
				waits = append(waits, r.wait)
			}
		}
		// The stock exceeds the burst by 0.4 of what the bound allows beyond rate and burst.
		if most := 10 + 0.4*(60*0.1+20) + 10; ran < 10 || float64(ran) > most {
			t.Errorf("%d of 200 requests at once ran, want 10 to %.0f", ran, most)
		}
		seen := map[time.Duration]bool{}
		for _, w := range waits {
			seen[w] = true
			if w <= 0 || w > 8*time.Second {
				t.Fatalf("Retry-After %v", w)
			}
		}
		if len(seen) < len(waits)*9/10 {
			t.Errorf("%d refused callers return at %d different times", len(waits), len(seen))
		}
		time.Sleep(6 * time.Second)
		if log := p.log.String(); strings.Count(log, `"tenant limited"`) != 1 || strings.Count(log, `"tenant no longer limited"`) != 1 {
			t.Errorf("one period of refusals is logged as\n%s", log)
		}
		cancel()
	})
}

// TestRemoteOwner guards against requests that are refused, or do not wait for the token, although another node has it,
// and against messages that do not survive their encoding.
func TestRemoteOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tn := limited(50, 50)
		c := startCluster(t, ctx, 5, tn)
		time.Sleep(5 * time.Second)
		for _, p := range c.parts {
			for range 3 {
				begun := time.Now()
				if wait, ok := p.Take(ctx, tn, false); !ok || time.Since(begun) > maxPatience {
					t.Errorf("node %s refuses a request below the limit (%v) after %v", p.self, wait, time.Since(begun))
				}
			}
			p.Return(tn)
		}
		before, bytes := c.sent.Load(), c.bytes.Load()
		time.Sleep(10 * time.Second)
		t.Logf("idle: %.1f messages a second, %d bytes each", float64(c.sent.Load()-before)/10, (c.bytes.Load()-bytes)/(c.sent.Load()-before))
		for _, p := range c.parts {
			if err := p.Drain(ctx); err != nil {
				t.Errorf("drain: %v", err)
			}
		}
		time.Sleep(time.Second)
		cancel()
	})
}

// TestNoLimits guards against messages and refusals in a mesh whose tenants have no limit.
func TestNoLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tn := limited(0, 0)
		c := startCluster(t, ctx, 3, tn)
		time.Sleep(5 * time.Second)
		for range 100 {
			if _, ok := c.parts["0"].Take(ctx, tn, false); !ok {
				t.Fatal("a request without a limit is refused")
			}
		}
		time.Sleep(5 * time.Second)
		if n := c.sent.Load(); n > 0 {
			t.Errorf("%d messages without a limit", n)
		}
		cancel()
	})
}

// TestCallerLeaves guards against a request that waits longer than its caller, and a token that it takes with it.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tn := limited(10, 10)
		p := startCluster(t, ctx, 2, tn).parts["0"]
		// Nobody knows the number of nodes yet, so there are no tokens.
		time.Sleep(10 * time.Millisecond)
		left, leave := context.WithTimeout(ctx, 40*time.Millisecond)
		defer leave()
		begun := time.Now()
		if _, ok := p.Take(left, tn, false); ok || time.Since(begun) > 40*time.Millisecond {
			t.Errorf("ok %v after %v", ok, time.Since(begun))
		}
		cancel()
	})
}

// BenchmarkTake measures a request whose token is at hand, on this host's clock.
func BenchmarkTake(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	tn := limited(1e12, 1e12)
	c := &fakeCluster{parts: map[string]*fakePart{}}
	p := &fakePart{cluster: c, plan: plan.New(1, plan.Limits{}, nil, nil).WithTenants([]*tenant.Tenant{tn})}
	p.RateLimiter = &RateLimiter{
		Window: 5 * time.Second, Overage: 0.1, Slack: 20, inputs: make(chan peerMessage, 1), kick: make(chan struct{}, 1),
		release: make(chan chan struct{}), cluster: p, sender: p, self: "0", log: slog.New(slog.DiscardHandler),
		now: clock.Clock{}.Now,
	}
	c.parts["0"] = p
	end := p.start(ctx, machine.Config{Node: "0", Incarnation: 1})
	for ok := false; !ok; {
		_, ok = p.Take(ctx, tn, false)
	}
	for b.Loop() {
		p.Take(ctx, tn, false)
	}
	cancel()
	<-end
}
