package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/quarantiner"
	"wisteriaspoke.example/mesh/target"
)

// newRunner returns the runner of a node that has just started, and the enroller that tells it of the upstream.
func newRunner() (*Runner, *enroller.Enroller) {
	r := &Runner{
		log: slog.New(slog.DiscardHandler), dialect: dialect{}, holder: holder.New(32 << 20),
		crashes: quarantiner.New(slog.New(slog.DiscardHandler)),
	}
	e := enroller.New(slog.New(slog.DiscardHandler), r)
	r.tracker = e
	return r, e
}

// dialect is a minimal exchanger.Dialect: the upstream echoes the request's ID, and status 421 means not run.
type dialect struct{}

func (dialect) SetUpstreamHeaders(h http.Header, c call.Call, _ time.Duration) {
	h.Set("Id", c.RequestID())
}
func (dialect) ResponseRequestID(h http.Header) string { return h.Get("Id") }
func (dialect) Signed(http.Header) bool                { return true }
func (dialect) Leaving(h http.Header) bool             { return h.Get("Leaving") != "" }
func (dialect) Limit(h http.Header) (float64, error) {
	if h.Get("Limit") == "" {
		return 0, nil
	}
	return strconv.ParseFloat(h.Get("Limit"), 64)
}
func (dialect) NotRun(status int, _ http.Header) (bool, bool) { return status == 421, status == 421 }

// TestRefusalsReachNoUpstream guards against calls that are sent to an upstream which must not get them. Every refusal
// must be reported as not run, and the upstream must not have received the call.
func TestRefusalsReachNoUpstream(t *testing.T) {
	upstreamCalls := 0
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upstreamCalls++
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.URL.Path == "/moved" {
			w.WriteHeader(421)
			return
		}
		io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	address := strings.TrimPrefix(upstream.URL, "http://")
	announcement := func(change func(*enroller.Announcement)) enroller.Announcement {
		a := enroller.Announcement{Instance: "i1", Address: address, Service: "s", Version: "v1", Slots: 1, StartMillis: 1, Sequence: 1}
		if change != nil {
			change(&a)
		}
		return a
	}
	good := call.Fields{RequestID: "r", Method: "GET", Host: "h", Path: "/", Service: "s", Version: "v1", Instance: "i1", Idempotent: true}
	cases := []struct {
		name      string
		setup     func(r *Runner, e *enroller.Enroller)
		call      func(*call.Fields)
		cancelled bool
	}{
		{name: "right", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }},
		{name: "any instance", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, call: func(c *call.Fields) { c.Instance = "" }},
		{name: "nobody announced", setup: func(*Runner, *enroller.Enroller) {}},
		{name: "another instance", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, call: func(c *call.Fields) { c.Instance = "i0" }},
		{name: "another service", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, call: func(c *call.Fields) { c.Service = "other" }},
		{name: "another version", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, call: func(c *call.Fields) { c.Version = "v2" }},
		{name: "leaving", setup: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announcement(func(a *enroller.Announcement) { a.Leaving = true }))
		}},
		{name: "withdrawn", setup: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announcement(nil))
			e.Withdraw("i1", 1)
		}},
		{name: "left and back under the same name", setup: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announcement(nil))
			e.Withdraw("i1", 1)
			e.Announce(announcement(func(a *enroller.Announcement) { a.StartMillis = 2 }))
		}},
		{name: "suspected", setup: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announcement(nil))
			e.MarkSuspect("i1", "down")
		}},
		{name: "address moved on", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, call: func(c *call.Fields) { c.Path = "/moved" }},
		{name: "nothing listens", setup: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announcement(func(a *enroller.Announcement) { a.Address = "127.0.0.1:1" }))
		}},
		{name: "caller has left", setup: func(_ *Runner, e *enroller.Enroller) { e.Announce(announcement(nil)) }, cancelled: true},
	}
	var out strings.Builder
	for _, c := range cases {
		upstreamCalls = 0
		r, e := newRunner()
		c.setup(r, e)
		f := good
		if c.call != nil {
			c.call(&f)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if c.cancelled {
			cancel()
		}
		a := r.Serve(ctx, call.New(f))
		cancel()
		state := "nobody"
		if u := e.Current(); u != nil {
			state = string(u.State())
		}
		fmt.Fprintf(&out, "%-34s status %d, ran %-3s reason %-10s upstream saw %d, then %s\n", c.name, a.Status(), a.Ran(), a.Reason(), upstreamCalls, state)
		if a.Ran() == answer.No && upstreamCalls > 0 && a.Reason() != "moved" {
			t.Errorf("%s: the upstream saw a call that is said not to have run", c.name)
		}
	}
	goldie.New(t).Assert(t, "refusals", []byte(out.String()))
}

// TestNewUpstreamIsTried guards against a new upstream that gets no calls because those measured as fast have free
// slots. It must count as fast until it has run some calls, and then by its measured service time.
func TestNewUpstreamIsTried(t *testing.T) {
	now := time.Now()
	r, e := newRunner()
	e.Announce(enroller.Announcement{Instance: "i1", Address: "127.0.0.1:1", Service: "s", Version: "v1", Slots: 12, StartMillis: 1, Sequence: 1})
	choose := func() string {
		_, ratioPerMille := r.Load()
		fast, fresh := gauge.New(now), gauge.New(now)
		fast.SetServiceTimeRatio(0.75)
		fresh.SetServiceTimeRatio(float64(ratioPerMille) / 1000)
		var ts []*target.Target
		for name, g := range map[string]*gauge.Gauge{"fast": fast, "fresh": fresh} {
			f := endpoint.Fields{Address: name, DataCentre: "a1", Region: "a", Service: "s", Slots: 12, State: endpoint.Ready}
			ts = append(ts, target.New(endpoint.New(f), g, "own", "a1", "a"))
		}
		c := chooser.Choose(chooser.Input{Targets: ts, ExpectedServiceTime: 200 * time.Millisecond, Objective: 800 * time.Millisecond, Now: now, Random: func(int) int { return 0 }})
		return c.Target().Endpoint().Address()
	}
	if got := choose(); got != "fresh" {
		t.Errorf("the first call goes to the %s endpoint", got)
	}
	for range 10 {
		r.backend.Load().observe(320*time.Millisecond, 200*time.Millisecond)
	}
	if got := choose(); got != "fast" {
		t.Errorf("after ten slow calls the next one goes to the %s endpoint", got)
	}
}
