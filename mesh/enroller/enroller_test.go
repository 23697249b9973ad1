package enroller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/endpoint"
)

// TestStop guards against a stopping node that marks its upstream as leaving at once, which wastes slots in a rolling
// restart, or never.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- e.run(ctx) }()
		e.Announce(Announcement{Instance: "a", Service: "s", Slots: 1, StartMillis: 1})
		if err := e.Drain(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leavingDelay - time.Millisecond)
		if s := e.Current().State(); s != endpoint.Ready {
			t.Errorf("the upstream is %s before leavingDelay has passed", s)
		}
		time.Sleep(2 * time.Millisecond)
		if s := e.Current().State(); s != endpoint.Leaving {
			t.Errorf("the upstream is %s after leavingDelay", s)
		}
		cancel()
		<-end
	})
}

// TestAnnouncements guards against late announcements that mark an upstream as ready again, replace a newer process or
// undo its leaving. Each case of testdata/announcements.json is a sequence of events.
func TestAnnouncements(t *testing.T) {
	data, err := os.ReadFile("testdata/announcements.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string
		Steps []struct {
			Now         int64  // Unix milliseconds
			Do          string // announce, withdraw, limit, suspect, recover, stop or configure, with the only service of the configuration
			Instance    string
			StartMillis int64
			Sequence    int64
			Leaving     bool
			Service     string
			Limit       float64
		}
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.Name)
		now := time.UnixMilli(0)
		configured := func(string) bool { return true }
		e := &Enroller{now: func() time.Time { return now }, instances: map[string]instanceRecord{}, log: slog.New(slog.DiscardHandler), service: "s"}
		for _, s := range c.Steps {
			applied := true
			now = time.UnixMilli(max(now.UnixMilli(), s.Now))
			switch s.Do {
			case "announce":
				service := s.Service
				if service == "" {
					service = "s"
				}
				applied = e.Announce(Announcement{Instance: s.Instance, Service: service, StartMillis: s.StartMillis, Sequence: s.Sequence, Leaving: s.Leaving, Slots: 1})
			case "withdraw":
				e.Withdraw(s.Instance, s.StartMillis)
			case "limit":
				e.SetLimit(s.Instance, s.StartMillis, s.Limit)
			case "suspect":
				e.MarkSuspect(s.Instance, "down")
			case "recover":
				e.ClearSuspect(s.Instance)
			case "stop":
				e.markLeaving()
			case "configure":
				configured = func(service string) bool { return service == s.Service }
				e.Disown(configured)
			}
			state := "none"
			if u := e.Current(); u != nil {
				state = fmt.Sprintf("%s of %s, %s", u.Announcement().Instance, e.Service(configured), u.State())
				if u.Limit() > 0 {
					state += fmt.Sprintf(", limit %g", u.Limit())
				}
			}
			fmt.Fprintf(&out, "  %-8s %s start %d sequence %d leaving %-5v applied %-5v -> %s\n", s.Do, s.Instance, s.StartMillis, s.Sequence, s.Leaving, applied, state)
		}
	}
	goldie.New(t).Assert(t, "announcements", []byte(out.String()))
}

// TestInstancesAreBounded guards against withdrawals of unknown instances that grow the memory without a bound.
func TestInstancesAreBounded(t *testing.T) {
	now := time.UnixMilli(1000)
	e := New(slog.New(slog.DiscardHandler))
	e.now = func() time.Time { return now }
	for i := range 3 * maxInstances {
		now = now.Add(time.Second)
		e.Withdraw(fmt.Sprint("i-", i), 0)
	}
	if len(e.instances) > maxInstances {
		t.Errorf("%d instances are kept, at most %d are allowed", len(e.instances), maxInstances)
	}
	if e.Announce(Announcement{Instance: fmt.Sprint("i-", 3*maxInstances-1), Service: "s", Slots: 1, StartMillis: 1000, Sequence: 1}) {
		t.Error("the instance that was withdrawn last is taken again")
	}
}
