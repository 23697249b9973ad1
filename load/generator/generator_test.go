package generator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/load/caller"
	"wisteriaspoke.example/load/generator"
	"wisteriaspoke.example/load/pacer"
	"wisteriaspoke.example/load/tally"
)

// TestMain guards against goroutines that outlive a run; fasthttp's cleaners cannot be stopped.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"))
}

// blockingCaller makes calls that end only when the test closes release.
type blockingCaller struct {
	started sync.WaitGroup
	release chan struct{}
}

func (b *blockingCaller) Call() (status, ran string) {
	b.started.Done()
	<-b.release
	return "200", "yes"
}

// TestOpenLoop guards against calls that wait for slower ones, and against results that omit calls that were not sent.
func TestOpenLoop(t *testing.T) {
	b := &blockingCaller{release: make(chan struct{})}
	b.started.Add(10)
	var results tally.Tally
	p := &pacer.Pacer{Rate: 1e6, For: 15 * time.Microsecond}
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&generator.Generator{Outstanding: 10}).Run(t.Context(), p, b, &results)
	}()
	b.started.Wait() // hangs if a call waits for the end of another
	for results.Report().Unsent < 5 {
		time.Sleep(time.Millisecond)
	}
	close(b.release)
	<-done
	r := results.Report()
	got := fmt.Appendf(nil, "sent %d, unsent %d, status %v, ran %v\n", r.Sent, r.Unsent, r.Status, r.Ran)
	goldie.New(t).Assert(t, "open-loop", got)
}

// TestCalls guards against a request that does not match the flags, a hidden retry and a miscounted response.
func TestCalls(t *testing.T) {
	var mu sync.Mutex
	var got strings.Builder
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&got, "%s %s %s %v %d\n", r.Method, r.Host, r.URL, r.Header["X-Test"], r.ContentLength)
		switch r.URL.Path {
		case "/ran":
			w.Header().Set("Wisteriaspoke-Ran", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/cut":
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	for _, path := range []string{"/?q=1", "/ran", "/cut"} {
		c := &caller.Caller{
			Target: []string{s.URL}, Method: "PUT", Path: path, Host: "startlisten.example", Body: 3,
			Header: []string{"X-Test=a,b", "X-Test=c=d"}, Timeout: 30 * time.Second,
		}
		var results tally.Tally
		(&generator.Generator{Outstanding: 1}).Run(t.Context(), &pacer.Pacer{Rate: 1, For: time.Second}, c, &results)
		r := results.Report()
		mu.Lock()
		fmt.Fprintf(&got, "sent %d, status %v, ran %v\n", r.Sent, r.Status, r.Ran)
		mu.Unlock()
	}
	s.Close() // waits for the handlers
	goldie.New(t).Assert(t, "calls", []byte(got.String()))
}
