package enroller

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/withdrawal"
)

// TestConfirm guards against UNASKED and DRAIN: a node that has just started takes the late announcement of an upstream that has
// crashed or left for that of the present one; and against upstreams that are refused without need.
func TestConfirm(t *testing.T) {
	cases := []struct {
		name     string
		known    bool  // the instance was withdrawn at its first start
		vouched  int64 // the start of the process for which another node has vouched
		sinceRun time.Duration
		heard    []Announcement
	}{
		{name: "one announcement", heard: []Announcement{{Sequence: 4}}},
		{name: "the same twice", heard: []Announcement{{Sequence: 4}, {Sequence: 4}}},
		{name: "a further one", heard: []Announcement{{Sequence: 4}, {Sequence: 5}}},
		{name: "an older one arrives later", heard: []Announcement{{Sequence: 4}, {Sequence: 3}, {Sequence: 5}}},
		{name: "a new process after a late announcement", heard: []Announcement{{Sequence: 9}, {StartMillis: 20, Sequence: 1}, {Sequence: 10}, {StartMillis: 20, Sequence: 2}}},
		{name: "another instance in between", heard: []Announcement{{Sequence: 4}, {Instance: "b", Sequence: 5}, {Sequence: 6}}},
		{name: "it leaves", heard: []Announcement{{Sequence: 4, Leaving: true}}},
		{name: "an instance that an earlier process has known", known: true, heard: []Announcement{{StartMillis: 20, Sequence: 1}}},
		{name: "an upstream that has started after the node", heard: []Announcement{{StartMillis: 1001, Sequence: 1}}},
		{name: "one of an unknown start", heard: []Announcement{{StartMillis: -1, Sequence: 1}, {StartMillis: -1, Sequence: 2}}},
		{name: "another node has vouched for it", vouched: 10, heard: []Announcement{{Sequence: 4}}},
		{name: "another node has vouched for its successor", vouched: 20, heard: []Announcement{{Sequence: 4}, {StartMillis: 20, Sequence: 1}}},
		{name: "long after the start", sinceRun: maxAnnouncementDelay + 1, heard: []Announcement{{Sequence: 1}}},
	}
	var out strings.Builder
	for _, c := range cases {
		e := New(slog.New(slog.DiscardHandler))
		now := time.UnixMilli(1000)
		e.now, e.startedAt = func() time.Time { return now }, now.Add(-c.sinceRun)
		if c.known {
			e.Recall([]withdrawal.Withdrawal{withdrawal.New("a", 10)})
		}
		if c.vouched != 0 {
			e.Vouch("a", c.vouched)
		}
		fmt.Fprintf(&out, "%s:", c.name)
		for _, a := range c.heard {
			if a.Instance == "" {
				a.Instance = "a"
			}
			switch a.StartMillis {
			case 0:
				a.StartMillis = 10
			case -1:
				a.StartMillis = 0
			}
			fmt.Fprintf(&out, " %s of %d, %d: %t;", a.Instance, a.StartMillis, a.Sequence, e.Confirm(a))
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "confirm", []byte(out.String()))
}

// TestUnconfirmedAreBounded guards against announcements of many instances that grow the memory without a bound.
func TestUnconfirmedAreBounded(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	for i := range 3 * maxInstances {
		e.Confirm(Announcement{Instance: fmt.Sprint("i-", i), StartMillis: 1, Sequence: 1})
	}
	if n := len(e.unconfirmed); n > maxInstances {
		t.Errorf("%d instances are kept, at most %d are allowed", n, maxInstances)
	}
}

// TestWithdrawalsAreBounded guards against withdrawals that grow the object in the store without a bound, or displace the latest.
func TestWithdrawalsAreBounded(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	now := time.UnixMilli(1000)
	e.now = func() time.Time { return now }
	for i := range 2 * maxWithdrawals {
		now = now.Add(time.Second)
		e.Withdraw(fmt.Sprintf("i-%03d", 500-i), 0)
	}
	ws := e.Withdrawals()
	if len(ws) != maxWithdrawals || ws[0].Instance() != fmt.Sprintf("i-%03d", 500-2*maxWithdrawals+1) {
		t.Errorf("%d withdrawals from %v on, want %d and the latest", len(ws), ws[0], maxWithdrawals)
	}
}
