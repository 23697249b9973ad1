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

// TestStop guards against a node that takes its upstream out of service as soon as it is told to stop, which wastes its
// slots in a rolling restart, and against one that never does.
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
		time.Sleep(stay - time.Millisecond)
		if s := e.Current().State(); s != endpoint.Ready {
			t.Errorf("the upstream is %s right after the stop began", s)
		}
		time.Sleep(2 * time.Millisecond)
		if s := e.Current().State(); s != endpoint.Leaving {
			t.Errorf("the upstream is %s after its time", s)
		}
		cancel()
		<-end
	})
}

// TestAnnouncements guards against late or foreign announcements that bring an upstream back, replace a newer one or
// undo its leaving. Each case of testdata/announcements.json is a sequence of what arrives.
func TestAnnouncements(t *testing.T) {
	data, err := os.ReadFile("testdata/announcements.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string
		Steps []struct {
			Do       string // announce, withdraw, suspect, recover or stop
			Instance string
			Born     int64
			Sequence int64
			Leaving  bool
			Service  string
		}
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.Name)
		e := &Enroller{now: func() time.Time { return time.UnixMilli(0) }, known: map[string]life{}, log: slog.New(slog.DiscardHandler)}
		for _, s := range c.Steps {
			taken := true
			switch s.Do {
			case "announce":
				service := s.Service
				if service == "" {
					service = "s"
				}
				taken = e.Announce(Announcement{Instance: s.Instance, Service: service, StartMillis: s.Born, Sequence: s.Sequence, Leaving: s.Leaving, Slots: 1})
			case "withdraw":
				e.Withdraw(s.Instance, s.Born)
			case "suspect":
				e.MarkSuspect(s.Instance, "down")
			case "recover":
				e.ClearSuspect(s.Instance)
			case "stop":
				e.leave()
			}
			state := "nobody"
			if l := e.Current(); l != nil {
				state = fmt.Sprintf("%s of %s, %s", l.Announcement().Instance, e.Service(), l.State())
			}
			fmt.Fprintf(&out, "  %-8s %s born %d sequence %d leaving %-5v taken %-5v -> %s\n", s.Do, s.Instance, s.Born, s.Sequence, s.Leaving, taken, state)
		}
	}
	goldie.New(t).Assert(t, "announcements", []byte(out.String()))
}
