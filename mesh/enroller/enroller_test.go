package enroller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

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
				taken = e.Announce(Announcement{Instance: s.Instance, Service: service, Born: s.Born, Sequence: s.Sequence, Leaving: s.Leaving, Slots: 1})
			case "withdraw":
				e.Withdraw(s.Instance, s.Born)
			case "suspect":
				e.Suspect(s.Instance, "down")
			case "recover":
				e.Recover(s.Instance)
			case "stop":
				if err := e.Drain(context.Background()); err != nil {
					t.Fatal(err)
				}
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
