package leaser

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/object"
)

// TestTraces runs each numbered case of commands under testdata against one stored lease and compares what each node
// then thinks. A case's first line says which failure it guards against.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			commands, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			name := strings.TrimSuffix(filepath.Base(file), ".txt")
			goldie.New(t).Assert(t, name, []byte(newBoard().play(t, string(commands))))
		})
	}
}

// board is one stored lease and the nodes that use it.
type board struct {
	stored  object.Object
	counter int
	nodes   map[string]*Lease
	start   time.Time
}

func newBoard() *board {
	b := &board{nodes: map[string]*Lease{}, start: time.UnixMilli(1_000_000)}
	for _, n := range []string{"a", "b", "a2"} {
		life := uint64(1)
		if n == "a2" {
			life = 2
		}
		b.nodes[n] = &Lease{Name: "relay-obb-a-0", Node: n[:1], Incarnation: life, Duration: 3 * time.Second, DataCentre: "obb-a", Region: "obb"}
	}
	return b
}

// play runs lines of "<milliseconds> <node> <command>"; node a2 is node a after a restart.
func (b *board) play(t *testing.T, commands string) string {
	var out strings.Builder
	for line := range strings.Lines(commands) {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		ms, err := strconv.Atoi(w[0])
		if err != nil || len(w) < 3 {
			t.Fatalf("malformed line %q", line)
		}
		now := b.start.Add(time.Duration(ms) * time.Millisecond)
		l := b.nodes[w[1]]
		said := b.do(t, now, l, w[2:])
		fmt.Fprintf(&out, "%-22s %-9s epoch %d holder %-2q mine %-5v held %-5v vacant %-5v orphan %d\n", strings.TrimSpace(line), said,
			l.Record().Epoch(), l.Record().Holder(), l.IsRecordedHolder(), l.Held(now), l.CanClaim(now), l.AbandonedVersion())
	}
	return out.String()
}

func (b *board) do(t *testing.T, now time.Time, l *Lease, w []string) string {
	switch w[0] {
	case "look":
		return ""
	case "read":
		l.Observe(now, b.stored)
		return ""
	case "heard":
		l.ObserveRenewal(now, b.nodes[w[1]].Record().Epoch(), b.nodes[w[1]].Record().Renewed())
		return ""
	case "garble":
		b.counter++
		b.stored = object.New(Plural, l.Name, strconv.Itoa(b.counter), []byte("{"))
		return ""
	}
	attempt := uint64(0)
	if len(w) > 1 {
		attempt, _ = strconv.ParseUint(w[1], 10, 64)
	}
	kind, o := l.ClaimOrRenew(now, attempt)
	if w[0] == "resign" {
		kind, o = l.Release(now)
	}
	if exists := b.stored.Revision() != ""; exists == (kind == effect.Create) || o.Revision() != b.stored.Revision() {
		return "conflict"
	}
	b.counter++
	b.stored = object.New(o.Plural(), o.Name(), strconv.Itoa(b.counter), o.Spec())
	if w[0] == "lost" {
		return "lost"
	}
	l.Observe(now, b.stored)
	return "stored"
}
