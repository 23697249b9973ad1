package admitter

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

// TestLostAnswer guards against a non-idempotent call that runs twice after its answer was lost, and against a final
// "not run" for a call of which an attempt has run.
func TestLostAnswer(t *testing.T) {
	url, _ := startUpstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"))
	lost := fault.New(fault.MayHaveRun, "link lost", "")
	var runs, refusals atomic.Int64
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		runs.Add(1)
		return answer.Answer{}, lost
	}
	if got := send(t, n, "POST", "/confirm", "entry"); got.status != 502 || got.ran != "maybe" || runs.Load() != 1 {
		t.Errorf("lost: %+v after %d runs", got, runs.Load())
	}
	if got := send(t, n, "POST", "/confirm", "entry", "Idempotency-Key", "k"); got.ran != "maybe" || runs.Load() != 2 {
		t.Errorf("lost with a key: %+v after %d runs", got, runs.Load())
	}
	n.publisher.Publish(endpoints(2, "127.0.0.1:7102", "127.0.0.1:7103", "127.0.0.1:7104"))
	runs.Store(0)
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		if runs.Add(1) == 1 {
			return answer.Answer{}, lost
		}
		refusals.Add(1)
		return answer.Answer{}, fault.New(fault.NotRun, "not reached", "")
	}
	if got := send(t, n, "GET", "/a", ""); got.ran != "maybe" || got.retried != "1" || refusals.Load() == 0 {
		t.Errorf("lost, then refused: %+v after %d refusals", got, refusals.Load())
	}
}

// TestNotRun guards against a refused call that is not retried at another endpoint, whatever its method.
func TestNotRun(t *testing.T) {
	url, runs := startUpstream(t)
	n := run(t, "127.0.0.1:7001", url)
	<-n.wire.ready
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001", "127.0.0.1:7002"))
	var refusals atomic.Int64
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		refusals.Add(1)
		return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: "leaving"}), nil
	}
	const calls = 100
	for range calls {
		if got := send(t, n, "POST", "/confirm", "entry"); got.ran != "yes" || got.status != 200 {
			t.Fatalf("call: %+v", got)
		}
	}
	// Each call ran exactly once, and the leaving endpoint received no call after its first refusal.
	if runs.Load() != calls || refusals.Load() > 1 {
		t.Errorf("%d runs and %d refusals of %d calls", runs.Load(), refusals.Load(), calls)
	}
}

// TestVerdict guards against calls to a version after a verdict on this node that it is bad.
func TestVerdict(t *testing.T) {
	url, _ := startUpstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.New("v1", "v2", 1000, "r1", 1)))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003/v2"))
	n.wire.peer = func(_ context.Context, peer string, c call.Call) (answer.Answer, error) {
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte(c.Version())}), nil
	}
	if got := send(t, n, "GET", "/", ""); got.body != "v2" {
		t.Errorf("before the verdict: %+v", got)
	}
	n.publisher.Publish(verdict.New("meldung", "v2", "r1", "fails"))
	for range 50 {
		if got := send(t, n, "GET", "/", ""); got.body != "v1" {
			t.Fatalf("after the verdict: %+v", got)
		}
	}
	x := n.admitter.explain("GET", "swim.example", "/", func(string) string { return "" })
	if len(x.Shares) != 2 || x.Shares[1].Permille != 0 || x.Shares[1].Reason != "taken out: fails" || x.Candidates[0].Address != "127.0.0.1:7002" {
		t.Errorf("explanation is %+v", x)
	}
}

// TestDrain guards against a call lost when its endpoint is stopped under load.
func TestDrain(t *testing.T) {
	slow := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			io.WriteString(w, "ok")
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	entry := run(t, "127.0.0.1:7001", slow())
	leaving := run(t, "127.0.0.1:7002", slow())
	<-leaving.wire.ready
	entry.publisher.Publish(configuration(t, 1, share.Share{}))
	entry.publisher.Publish(endpoints(1, "127.0.0.1:7001", "127.0.0.1:7002"))
	entry.wire.peer = func(ctx context.Context, _ string, c call.Call) (answer.Answer, error) {
		return leaving.dispatcher.Serve(ctx, c), nil
	}
	var group sync.WaitGroup
	var lost atomic.Int64
	started := make(chan struct{}, 8*100)
	for range 8 {
		group.Go(func() {
			for range 100 {
				started <- struct{}{}
				if got := send(t, entry, "POST", "/confirm", "entry"); got.ran != "yes" || got.status != 200 {
					t.Errorf("call: %+v", got)
					lost.Add(1)
				}
			}
		})
	}
	for range 200 {
		<-started
	}
	leaving.halt(t)
	group.Wait()
	if lost.Load() > 0 {
		t.Errorf("%d calls are lost", lost.Load())
	}
}

// TestPoison guards against the retry budget being used up by retries of a call that all endpoints refuse because it
// crashes upstreams.
func TestPoison(t *testing.T) {
	url, _ := startUpstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"))
	var refusals atomic.Int64
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		refusals.Add(1)
		return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: "poison"}), nil
	}
	for i := range int64(20) {
		if got := send(t, n, "GET", "/a", ""); got.status != 503 || got.ran != "no" || got.reason != "poison" || refusals.Load() != i+1 {
			t.Fatalf("call %d: %+v after %d refusals", i, got, refusals.Load())
		}
	}
}
