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
// lost, counted twice or kept for too long. Each file testdata/*.txt is a case with a step a line: the time in seconds,
// then one of
//
//	ask CALL | send CALL | end CALL ENDING     a call whose fingerprint is the letters of its name
//	hear ENDPOINT COUNTER PRINT [cleared]      a mark of another node
//	grant PRINT HOLDER UNTIL | return PRINT HOLDER
//	since SEQUENCE MOST
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
			tr := trace{Guard: &Guard{Node: "n0", Incarnation: 1}, epochs: map[string]uint64{}}
			var out strings.Builder
			for lines := bufio.NewScanner(data); lines.Scan(); {
				fmt.Fprintf(&out, "%-28s -> %s\n", lines.Text(), tr.step(t, strings.Fields(lines.Text())))
			}
			goldie.New(t).Assert(t, name, []byte(out.String()))
		})
	}
}

type trace struct {
	*Guard
	epochs map[string]uint64 // in which a call was sent
}

// start is a fixed time, so that traces are the same each time.
var start = time.Unix(1000, 0)

func (tr *trace) step(t *testing.T, w []string) string {
	t.Helper()
	num := func(i int) uint64 {
		n, err := strconv.ParseUint(w[i], 10, 64)
		if err != nil {
			t.Fatalf("%v: %v", w, err)
		}
		return n
	}
	at := func(i int) time.Time { return start.Add(time.Duration(num(i)) * time.Second) }
	now := at(0)
	switch w[1] {
	case "ask":
		return string(tr.Decide(now, number(w[2]), print(w[2])))
	case "send":
		tr.epochs[w[2]] = tr.Epoch()
		tr.RecordSend(number(w[2]))
		return fmt.Sprintf("epoch %d", tr.Epoch())
	case "end":
		return show(tr.RecordEnd(now, number(w[2]), print(w[2]), tr.epochs[w[2]], Ending(w[3])))
	case "hear":
		f := mark.Fields{Endpoint: w[2], Incarnation: 1, Counter: num(3), Fingerprint: print(w[4]), TimeLeft: MarkLifetime, Cleared: len(w) > 5}
		return show(tr.Merge(now, []mark.Mark{mark.New(f)}))
	case "grant":
		return fmt.Sprint(tr.GrantPermit(now, print(w[2]), num(3), at(4)))
	case "return":
		tr.ReleasePermit(print(w[2]), num(3))
		return ""
	case "since":
		ms, next := tr.MarksSince(now, num(2), int(num(3)))
		return fmt.Sprintf("next %d%s", next, show(ms))
	}
	t.Fatalf("unknown step %v", w)
	return ""
}

// print returns the fingerprint of a call, which is named by letters and a number for the copy.
func print(name string) string {
	letters := strings.TrimRight(name, "0123456789")
	return strings.Repeat("0", printSize-len(letters)) + letters
}

func number(name string) uint64 {
	n := uint64(0)
	for _, r := range name {
		n = n*64 + uint64(r)
	}
	return n
}

func show(ms []mark.Mark) string {
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

// TestBounds guards against a table that grows without limit or that drops a mark other than the one that ends first.
func TestBounds(t *testing.T) {
	g := &Guard{Node: "n0", Incarnation: 1}
	heard := func(i int) mark.Mark {
		return mark.New(mark.Fields{Endpoint: "n1", Incarnation: 1, Counter: uint64(i), Fingerprint: fmt.Sprintf("%032d", i), TimeLeft: MarkLifetime})
	}
	const all = 3 * maxMarks
	for i := range all {
		g.Merge(start.Add(time.Duration(i)*time.Millisecond), []mark.Mark{heard(i)})
	}
	now := start.Add(all * time.Millisecond)
	if len(g.table.records) != maxMarks || len(g.table.prints) != maxMarks || len(g.table.order) != maxMarks {
		t.Errorf("the table holds %d marks of %d calls", len(g.table.records), len(g.table.prints))
	}
	if g.Decide(now, 1, heard(all-maxMarks-1).Fingerprint()) != Run || g.Decide(now, 2, heard(all-maxMarks).Fingerprint()) != RunAlone {
		t.Error("the dropped marks are not those that end first")
	}
	late := now.Add(MarkLifetime)
	if g.Merge(late, []mark.Mark{heard(all)}); len(g.table.records) != 1 {
		t.Errorf("%d marks after all but one have ended", len(g.table.records))
	}
	for i := range maxMarks + 8 {
		g.GrantPermit(now, fmt.Sprintf("%032d", i), 1, late)
	}
	if len(g.tickets) != maxMarks {
		t.Errorf("%d permissions are held", len(g.tickets))
	}
}
