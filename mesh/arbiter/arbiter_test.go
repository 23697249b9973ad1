package arbiter_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/arbiter"
	"wisteriaspoke.example/mesh/ledger"
)

// TestDecide guards against a decision that runs a call without proof; each case in testdata/cases.json is a list of
// replies of the form state[:young][:notowner], where young means that the node became an owner recently.
func TestDecide(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name         string
		Replies      []string
		Owners       int
		RecentOwners int
		Pending      int
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	created := time.Date(2026, 1, 1, 0, 10, 0, 0, time.UTC)
	var out strings.Builder
	for _, c := range cases {
		var replies []arbiter.Reply
		for _, text := range c.Replies {
			replies = append(replies, reply(text, created, c.RecentOwners))
		}
		decision, a := arbiter.Decide(created, replies, c.Owners, c.Pending)
		fmt.Fprintf(&out, "%-28s %v of %d, %d pending -> %s", c.Name, c.Replies, c.Owners, c.Pending, decision)
		if decision == arbiter.Return {
			fmt.Fprintf(&out, " %d", a.Status())
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "decisions", []byte(out.String()))
}

func reply(text string, created time.Time, recentOwners int) arbiter.Reply {
	state, flags, _ := strings.Cut(text, ":")
	f := arbiter.Fields{
		Owner: !strings.Contains(flags, "notowner"), OwnerSince: created.Add(-time.Hour), RecentOwnerCount: recentOwners,
	}
	if strings.Contains(flags, "young") {
		f.OwnerSince = created.Add(-arbiter.Margin / 2)
	}
	l := &ledger.Ledger{Retention: time.Hour, MaxBytes: 1 << 20, MaxRecords: 10}
	const attempt = 7
	switch ledger.State(state) {
	case ledger.Running:
		l.Reserve(created, "k", 1, attempt+1, created.Add(time.Hour))
	case ledger.Done:
		l.Reserve(created, "k", 1, attempt+1, created.Add(time.Hour))
		l.Finish(created, "k", attempt+1, answer.New(answer.Fields{Status: 201, Ran: answer.Yes}))
	case ledger.MayHaveRun:
		l.Reserve(created, "k", 1, attempt+1, created.Add(time.Hour))
		l.Finish(created, "k", attempt+1, answer.New(answer.Fields{Status: 502, Ran: answer.Maybe}))
	case ledger.RequestMismatch:
		l.Reserve(created, "k", 2, attempt+1, created.Add(time.Hour))
	case ledger.Full:
		l.MaxRecords = 0
	}
	f.Result = l.Reserve(created, "k", 1, attempt, created.Add(time.Hour))
	return arbiter.NewReply(f)
}
