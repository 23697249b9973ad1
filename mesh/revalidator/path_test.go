package revalidator_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/quarantiner"
	"wisteriaspoke.example/mesh/receiver"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/revalidator"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/runner"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// surroundings are the parts around the receiver, the runner and the revalidator of one node.
type surroundings struct {
	*enroller.Enroller
	*quarantiner.Quarantiner
	runner      *runner.Runner
	revalidator *revalidator.Revalidator
	stored      atomic.Pointer[plan.Plan] // in the store
	inForce     atomic.Pointer[plan.Plan]
	storeOut    atomic.Bool
}

func (s *surroundings) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

func (s *surroundings) List(context.Context, record.Kind, bool) ([]record.Record, uint64, error) {
	if s.storeOut.Load() {
		return nil, 0, fault.New(fault.Unavailable, "refused", "")
	}
	return []record.Record{{Kind: record.Configuration}}, 1, nil
}

func (s *surroundings) AddRead(_ []record.Record, began time.Duration) bool {
	p := s.stored.Load()
	s.inForce.Store(p)
	s.revalidator.Prove(began, p.Version())
	return true
}

func (s *surroundings) SetStoreReachable(bool, time.Duration) {}
func (s *surroundings) Nodes() []elector.Candidate            { return nil }
func (s *surroundings) View() *view.View                      { return view.New(s.inForce.Load(), time.Time{}, nil) }
func (s *surroundings) PlanKnown() <-chan struct{}            { return nil }
func (s *surroundings) Send(string, message.Message)          {}
func (s *surroundings) Config() machine.Config {
	return machine.Config{Node: "n", Region: "a", Incarnation: 1}
}
func (s *surroundings) Elapsed(*rule.Rule, time.Duration) time.Duration { return 0 }
func (s *surroundings) Take(context.Context, *tenant.Tenant, bool) (time.Duration, bool) {
	return 0, true
}
func (s *surroundings) Return(*tenant.Tenant)                              {}
func (s *surroundings) Service() string                                    { return "own" }
func (s *surroundings) Holder() *holder.Holder                             { return holder.New(1 << 20) }
func (s *surroundings) MaxConnections() int                                { return 0 }
func (s *surroundings) MaxBehind() int64                                   { return 0 }
func (s *surroundings) BodyBuffer() int64                                  { return 1 << 20 }
func (s *surroundings) ParseRequest(h http.Header) (string, time.Duration) { return h.Get("Id"), 0 }
func (s *surroundings) SetUpstreamHeaders(h http.Header, c call.Call, _ time.Duration) {
	h.Set("Id", c.RequestID())
}
func (s *surroundings) ResponseRequestID(h http.Header) string { return h.Get("Id") }
func (s *surroundings) NotRun(int, http.Header) (bool, bool)   { return false, false }
func (s *surroundings) Signed(http.Header) bool                { return true }
func (s *surroundings) Leaving(http.Header) bool               { return false }
func (s *surroundings) Limit(http.Header) (float64, error)     { return 0, nil }

func (s *surroundings) TakeKey(h http.Header) string {
	key := h.Get("Key")
	h.Del("Key")
	return key
}

func (s *surroundings) SetRefusalHeaders(h http.Header, _ string, wait time.Duration) {
	if wait > 0 {
		h.Set("Wait", wait.String())
	}
}

// Forward runs the request beside this node. As the forwarder does, it names a time to come back where the runner names none, for
// example for a key that was revoked after the receiver has accepted it.
func (s *surroundings) Forward(ctx context.Context, _ *view.View, _ *rule.Rule, f call.Fields) answer.Answer {
	f.Service = "s"
	a := s.runner.Serve(ctx, call.New(f))
	if a.Ran() == answer.No && a.RetryAfter() == 0 {
		refused := a.Fields()
		refused.RetryAfter = 250
		a = answer.New(refused)
	}
	return a
}

var around = &surroundings{}

func init() { kernel.Register("surroundings", 1, func() kernel.Part { return around }) }

// TestWholePath guards against parts that work alone and not together: a revoked key that is still accepted, a node that
// refuses for ever or serves without a proof, and a public route that depends on either.
func TestWholePath(t *testing.T) {
	var runs atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	log := slog.New(slog.DiscardHandler)
	k := kernel.New()
	k.Log = log
	r, err := kernel.Need[*receiver.Receiver](k)
	if err != nil {
		t.Fatal(err)
	}
	if around.runner, err = kernel.Need[*runner.Runner](k); err != nil {
		t.Fatal(err)
	}
	if around.revalidator, err = kernel.Need[*revalidator.Revalidator](k); err != nil {
		t.Fatal(err)
	}
	around.Enroller, around.Quarantiner = enroller.New(log, around.runner), quarantiner.New(log)
	around.revalidator.Revoke = time.Second
	configuration := func(version uint64, keys ...string) *plan.Plan {
		f := tenant.Fields{Name: "t"}
		for _, key := range keys {
			f.KeyHashes = append(f.KeyHashes, tenant.HashKey(key))
		}
		return plan.New(version, plan.Limits{}, nil, []*rule.Rule{
			rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second}),
			rule.New(rule.Fields{Name: "p", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Public: true}),
		}).WithTenants([]*tenant.Tenant{tenant.New(f)})
	}
	around.stored.Store(configuration(1, "k1", "k2"))
	around.inForce.Store(around.stored.Load())
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.Callers, r.Ahead, r.Held, r.Stall = free.Addr().String(), 8, 1<<20, 10*time.Second
	free.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var ends []<-chan error
	for _, p := range []kernel.Part{around.runner, around.revalidator, r} {
		end, err := p.Start(ctx, k)
		if err != nil {
			t.Fatal(err)
		}
		if end != nil {
			ends = append(ends, end)
		}
	}
	defer func() {
		cancel()
		for _, end := range ends {
			<-end
		}
	}()
	around.Announce(enroller.Announcement{Instance: "i1", Address: strings.TrimPrefix(upstream.URL, "http://"), Service: "s", Version: "v1", Slots: 4, StartMillis: 1, Sequence: 1})
	status := func(path, key string) int {
		q, err := http.NewRequest(http.MethodGet, "http://"+r.Callers+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h"
		q.Header.Set("Id", "q")
		q.Header.Set("Key", key)
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if a.StatusCode == http.StatusServiceUnavailable && a.Header.Get("Wait") == "" {
			t.Errorf("%s with %q: 503 without a time to come back", path, key)
		}
		return a.StatusCode
	}
	await := func(what, path, key string, want int) {
		t.Helper()
		got := 0
		for end := time.Now().Add(30 * time.Second); got != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %s with %q gets %d, want %d", what, path, key, got, want)
			}
			got = status(path, key)
		}
	}
	await("after the start", "/a/x", "k1", 200)
	old := call.Fields{RequestID: "old", Method: http.MethodGet, Host: "h", Path: "/a/x", Service: "s", KeyHash: tenant.HashKey("k1"), KeyVersion: 1}
	around.stored.Store(configuration(2, "k2"))
	await("after the revocation", "/a/x", "k1", 401)
	await("after the revocation", "/a/x", "k2", 200)
	// A request that was accepted by the old configuration is refused where it would run.
	if a := around.runner.Serve(ctx, call.New(old)); a.Ran() != answer.No || a.Reason() != tenant.Refused && a.Reason() != "stale" {
		t.Errorf("a call with a revoked key: ran %v, reason %q", a.Ran(), a.Reason())
	}
	around.storeOut.Store(true)
	await("while the store is out", "/a/x", "k2", 503)
	before := runs.Load()
	for _, key := range []string{"k1", "k2", "k3", ""} {
		if got := status("/a/x", key); got != 503 {
			t.Errorf("while the store is out: key %q gets %d", key, got)
		}
	}
	if n := runs.Load() - before; n != 0 {
		t.Errorf("%d requests with a key ran while the store was out", n)
	}
	if got := status("/p/x", "k1"); got != 200 {
		t.Errorf("while the store is out: a public route gets %d", got)
	}
	around.storeOut.Store(false)
	await("after the store is back", "/a/x", "k2", 200)
}
