package guard

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/mark"
)

// TestGuard guards against a culprit that runs a third time, an innocent call that stays marked, and marks that are
// lost, counted twice or kept for too long. Each file testdata/*.txt is a case with one step per line: the time in
// seconds, then one of
//
//	ask CALL | send CALL | end CALL ENDING           calls Decide, RecordSend or RecordEnd
//	hear ENDPOINT COUNTER FINGERPRINT [cleared]      merges a mark of another node
//	grant FINGERPRINT HOLDER UNTIL | return FINGERPRINT HOLDER
//	since SEQUENCE LIMIT                             calls MarksSince
//
// The fingerprint of a call is the letters of its name.
func TestGuard(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			data, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer data.Close()
			c := testCase{Guard: &Guard{Node: "n0", Incarnation: 1}, epochs: map[string]uint64{}}
			var out strings.Builder
			for lines := bufio.NewScanner(data); lines.Scan(); {
				fmt.Fprintf(&out, "%-28s -> %s\n", lines.Text(), c.step(t, strings.Fields(lines.Text())))
			}
			goldie.New(t).Assert(t, name, []byte(out.String()))
		})
	}
}

// testCase runs the steps of one case.
type testCase struct {
	*Guard
	epochs map[string]uint64 // call -> epoch in which it was sent
}

// start is a fixed time, so that the output is reproducible.
var start = time.Unix(1000, 0)

func (c *testCase) step(t *testing.T, words []string) string {
	t.Helper()
	num := func(i int) uint64 {
		n, err := strconv.ParseUint(words[i], 10, 64)
		if err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		return n
	}
	at := func(i int) time.Time { return start.Add(time.Duration(num(i)) * time.Second) }
	now := at(0)
	switch words[1] {
	case "ask":
		return string(c.Decide(now, callID(words[2]), fingerprint(words[2])))
	case "send":
		c.epochs[words[2]] = c.Epoch()
		c.RecordSend(callID(words[2]))
		return fmt.Sprintf("epoch %d", c.Epoch())
	case "end":
		return formatMarks(c.RecordEnd(now, callID(words[2]), fingerprint(words[2]), c.epochs[words[2]], Ending(words[3])))
	case "hear":
		f := mark.Fields{Endpoint: words[2], Incarnation: 1, Counter: num(3), Fingerprint: fingerprint(words[4]), TimeLeft: MarkLifetime, Cleared: len(words) > 5}
		return formatMarks(c.Merge(now, []mark.Mark{mark.New(f)}))
	case "grant":
		return fmt.Sprint(c.GrantPermit(now, fingerprint(words[2]), num(3), at(4)))
	case "return":
		c.ReleasePermit(fingerprint(words[2]), num(3))
		return ""
	case "since":
		ms, next := c.MarksSince(now, num(2), int(num(3)))
		return fmt.Sprintf("next %d%s", next, formatMarks(ms))
	}
	t.Fatalf("unknown step %v", words)
	return ""
}

// fingerprint returns the fingerprint of a call, whose name is letters and the number of the copy.
func fingerprint(name string) string {
	letters := strings.TrimRight(name, "0123456789")
	return strings.Repeat("0", fingerprintLength-len(letters)) + letters
}

// callID returns an ID for the call's name.
func callID(name string) uint64 {
	n := uint64(0)
	for _, r := range name {
		n = n*64 + uint64(r)
	}
	return n
}

func formatMarks(ms []mark.Mark) string {
	var out strings.Builder
	for _, m := range ms {
		state := "counts"
		if m.Cleared() {
			state = "cleared"
		}
		fmt.Fprintf(&out, " [%s %s %s %v]", m.CrashID(), strings.TrimLeft(m.Fingerprint(), "0"), state, m.TimeLeft())
	}
	return out.String()
}

// TestBounds guards against a table that grows without limit or that drops a mark other than the one that expires
// first.
func TestBounds(t *testing.T) {
	g := &Guard{Node: "n0", Incarnation: 1}
	newMark := func(i int) mark.Mark {
		return mark.New(mark.Fields{Endpoint: "n1", Incarnation: 1, Counter: uint64(i), Fingerprint: fmt.Sprintf("%032d", i), TimeLeft: MarkLifetime})
	}
	const total = 3 * maxMarks
	for i := range total {
		g.Merge(start.Add(time.Duration(i)*time.Millisecond), []mark.Mark{newMark(i)})
	}
	now := start.Add(total * time.Millisecond)
	if len(g.table.records) != maxMarks || len(g.table.byFingerprint) != maxMarks || len(g.table.byExpiry) != maxMarks {
		t.Errorf("the table holds %d marks of %d calls", len(g.table.records), len(g.table.byFingerprint))
	}
	if g.Decide(now, 1, newMark(total-maxMarks-1).Fingerprint()) != Run || g.Decide(now, 2, newMark(total-maxMarks).Fingerprint()) != RunAlone {
		t.Error("the dropped marks are not those that expire first")
	}
	late := now.Add(MarkLifetime)
	if g.Merge(late, []mark.Mark{newMark(total)}); len(g.table.records) != 1 {
		t.Errorf("%d marks after all but one have expired", len(g.table.records))
	}
	for i := range maxMarks + 8 {
		g.GrantPermit(now, fmt.Sprintf("%032d", i), 1, late)
	}
	if len(g.permits) != maxMarks {
		t.Errorf("%d permissions are held", len(g.permits))
	}
}
