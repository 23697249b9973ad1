package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
	"wisteriaspoke.example/mesh/target"
)

// dialect is a plain one for the tests.
type dialect struct{}

func (dialect) SetUpstreamHeaders(h http.Header, c call.Call, _ time.Duration) {
	h.Set("Id", c.RequestID())
}
func (dialect) ResponseRequestID(h http.Header) string        { return h.Get("Id") }
func (dialect) Signed(http.Header) bool                       { return true }
func (dialect) NotRun(status int, _ http.Header) (bool, bool) { return status == 421, status == 421 }

// TestLastWord guards against calls that reach an upstream which must not get them. Every refusal must be "not run" and
// the upstream must not have seen the call.
func TestLastWord(t *testing.T) {
	seen := 0
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen++
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.URL.Path == "/moved" {
			w.WriteHeader(421)
			return
		}
		io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	address := strings.TrimPrefix(upstream.URL, "http://")
	announced := func(change func(*enroller.Announcement)) enroller.Announcement {
		a := enroller.Announcement{Instance: "i1", Address: address, Service: "s", Version: "v1", Slots: 1, StartMillis: 1, Sequence: 1}
		if change != nil {
			change(&a)
		}
		return a
	}
	good := call.Fields{RequestID: "r", Method: "GET", Host: "h", Path: "/", Service: "s", Version: "v1", Instance: "i1", Idempotent: true}
	cases := []struct {
		name   string
		before func(r *Runner, e *enroller.Enroller)
		call   func(*call.Fields)
		gone   bool // the caller has hung up
	}{
		{name: "right", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }},
		{name: "any instance", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, call: func(c *call.Fields) { c.Instance = "" }},
		{name: "nobody announced", before: func(*Runner, *enroller.Enroller) {}},
		{name: "another instance", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, call: func(c *call.Fields) { c.Instance = "i0" }},
		{name: "another service", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, call: func(c *call.Fields) { c.Service = "other" }},
		{name: "another version", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, call: func(c *call.Fields) { c.Version = "v2" }},
		{name: "leaving", before: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announced(func(a *enroller.Announcement) { a.Leaving = true }))
		}},
		{name: "withdrawn", before: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announced(nil))
			e.Withdraw("i1", 1)
		}},
		{name: "left and back under the same name", before: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announced(nil))
			e.Withdraw("i1", 1)
			e.Announce(announced(func(a *enroller.Announcement) { a.StartMillis = 2 }))
		}},
		{name: "suspected", before: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announced(nil))
			e.MarkSuspect("i1", "down")
		}},
		{name: "address moved on", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, call: func(c *call.Fields) { c.Path = "/moved" }},
		{name: "nothing listens", before: func(_ *Runner, e *enroller.Enroller) {
			e.Announce(announced(func(a *enroller.Announcement) { a.Address = "127.0.0.1:1" }))
		}},
		{name: "caller has left", before: func(_ *Runner, e *enroller.Enroller) { e.Announce(announced(nil)) }, gone: true},
	}
	var out strings.Builder
	for _, c := range cases {
		seen = 0
		r := &Runner{log: slog.New(slog.DiscardHandler), dialect: dialect{}}
		e := enroller.New(slog.New(slog.DiscardHandler), r)
		r.local = e
		c.before(r, e)
		f := good
		if c.call != nil {
			c.call(&f)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if c.gone {
			cancel()
		}
		a := r.Serve(ctx, call.New(f))
		cancel()
		state := "nobody"
		if l := e.Current(); l != nil {
			state = string(l.State())
		}
		fmt.Fprintf(&out, "%-34s status %d, ran %-3s reason %-10s upstream saw %d, then %s\n", c.name, a.Status(), a.Ran(), a.Reason(), seen, state)
		if a.Ran() == answer.No && seen > 0 && a.Reason() != "moved" {
			t.Errorf("%s: the upstream saw a call that is said not to have run", c.name)
		}
	}
	goldie.New(t).Assert(t, "lastword", []byte(out.String()))
}

// TestFreshIsTried guards against an upstream that has joined and gets no calls, since those that were measured as fast
// have room. It must be taken for a fast one until it has run some calls, and then for what it is.
func TestFreshIsTried(t *testing.T) {
	now := time.Now()
	r := &Runner{log: slog.New(slog.DiscardHandler), dialect: dialect{}}
	e := enroller.New(slog.New(slog.DiscardHandler), r)
	e.Announce(enroller.Announcement{Instance: "i1", Address: "127.0.0.1:1", Service: "s", Version: "v1", Slots: 12, StartMillis: 1, Sequence: 1})
	ask := func() string {
		_, pace := r.Load()
		fast, fresh := gauge.New(now), gauge.New(now)
		fast.SetServiceTimeRatio(0.75)
		fresh.SetServiceTimeRatio(float64(pace) / 1000)
		var ts []*target.Target
		for name, g := range map[string]*gauge.Gauge{"fast": fast, "fresh": fresh} {
			f := endpoint.Fields{Address: name, DataCentre: "a1", Region: "a", Service: "s", Slots: 12, State: endpoint.Ready}
			ts = append(ts, target.New(endpoint.New(f), g, "own", "a1", "a"))
		}
		c := chooser.Choose(chooser.Input{Targets: ts, ExpectedServiceTime: 200 * time.Millisecond, Objective: 800 * time.Millisecond, Now: now, Random: func(int) int { return 0 }})
		return c.Target().Endpoint().Address()
	}
	if got := ask(); got != "fresh" {
		t.Errorf("the first call goes to the %s endpoint", got)
	}
	for range 10 {
		r.place.Load().measure(320*time.Millisecond, 200*time.Millisecond)
	}
	if got := ask(); got != "fast" {
		t.Errorf("after ten slow calls the next one goes to the %s endpoint", got)
	}
}
