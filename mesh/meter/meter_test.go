package meter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The server's cleanup goroutine sees a stop only after it has slept for 10 s, and cannot be waited for.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		// fasthttp keeps one goroutine for the Date header in every process that has served a request.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func init() {
	kernel.Register("first", 1, func() kernel.Part { return &fake{} })
	kernel.Register("second", 2, func() kernel.Part { return &fake{} })
}

// fake is a part whose readiness the test sets before it starts the meter.
type fake struct{ err error }

func (f *fake) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }
func (f *fake) Ready() error                                                { return f.err }

func (f *fake) Page(path string, query url.Values) (any, bool, error) {
	if path != "/page" {
		return nil, false, nil
	}
	if query.Get("name") == "" {
		return nil, true, fault.New(fault.Invalid, "name is missing", "set it")
	}
	return map[string]string{"name": query.Get("name")}, true, nil
}

// start runs a meter over the registry; errs are the parts' readiness errors.
func start(t *testing.T, r metrics.Registry, errs ...error) *Meter {
	t.Helper()
	k := kernel.New()
	k.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	for i, f := range kernel.All[*fake](k) {
		if i < len(errs) {
			f.err = errs[i]
		}
	}
	m, err := kernel.Need[*Meter](k)
	if err != nil {
		t.Fatal(err)
	}
	m.Admin, m.registry = "127.0.0.1:0", r
	ctx, cancel := context.WithCancel(context.Background())
	end, err := m.Start(ctx, k)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return m
}

func get(t *testing.T, m *Meter, path string) string {
	t.Helper()
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.Address() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("GET %s: %d\n%s", path, r.StatusCode, body)
}

// TestReadiness guards against a node that reports ready while a part is not, and against a 503 without reasons.
func TestReadiness(t *testing.T) {
	var out strings.Builder
	up := start(t, metrics.NewRegistry())
	down := start(t, metrics.NewRegistry(), errors.New("no configuration yet"), errors.New("links are not accepted"))
	for _, path := range []string{"/healthz", "/readyz", "/other"} {
		out.WriteString(get(t, up, path))
		out.WriteString(get(t, down, path))
	}
	goldie.New(t).Assert(t, "readiness", []byte(out.String()))
}

// TestMetrics guards against metrics that are missing or not in the text format.
func TestMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("link.dropped", r).Inc(3)
	metrics.GetOrRegisterCounter("calls.startlisten.high", r).Inc(5)
	metrics.GetOrRegisterCounter(`calls.odd"tenant.normal`, r).Inc(1)
	metrics.GetOrRegisterGauge("version-in.force", r).Update(12)
	metrics.GetOrRegisterGaugeFloat64("share", r).Update(0.25)
	h := metrics.GetOrRegisterHistogram("bytes.startlisten.high", r, metrics.NewUniformSample(1000))
	for i := range 100 {
		h.Update(int64(i + 1))
	}
	timer := metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(10)), metrics.NilMeter{})
	if err := r.Register("latency.startlisten.high", timer); err != nil {
		t.Fatal(err)
	}
	timer.Update(1500 * time.Microsecond)
	metrics.GetOrRegisterGauge("calls.startlisten.low", r).Update(2)
	goldie.New(t).Assert(t, "metrics", []byte(get(t, start(t, r), "/metrics")))
}

// TestCheck guards against a bad address that is detected only at the start.
func TestCheck(t *testing.T) {
	if err := (&Meter{Admin: "localhost"}).Check(); err == nil {
		t.Error("a name was accepted as an address")
	}
}

// TestPages guards against a page of a part that is not served, and against an error without the remedy.
func TestPages(t *testing.T) {
	m := start(t, metrics.NewRegistry())
	for path, want := range map[string]string{
		"/page?name=a%26b": "GET /page?name=a%26b: 200\n{\"name\":\"a\\u0026b\"}\n",
		"/page":            "GET /page: 400\n{\"kind\":\"invalid\",\"what\":\"name is missing\",\"remedy\":\"set it\"}\n",
	} {
		if got := get(t, m, path); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
