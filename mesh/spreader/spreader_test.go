package spreader

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

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
)

// start is a fixed time, so that traces are the same each time.
var start = time.Unix(1000, 0)

// TestSpreader guards against marks that do not reach a node, confirmations that come too early, and marks that go round
// in circles. Each file testdata/*.txt is a case with a step a line: the time in milliseconds, then one of
//
//	roster SEAT [gateway] [relays=A,B] [region=A,B] [remote=A,B]
//	spread PRINT | pending BATCH | synced | tick
//	marks PEER BATCH HOP PRINT | taken PEER BATCH
//	pull PEER LIFE SEQUENCE [relay] | page PEER LIFE SEQUENCE PRINT [more]
func TestSpreader(t *testing.T) {
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
			s := &Spreader{Node: "self", Incarnation: 9, Guard: &guard.Guard{Node: "self", Incarnation: 9}}
			var out strings.Builder
			for lines := bufio.NewScanner(data); lines.Scan(); {
				fmt.Fprintf(&out, "%s\n%s", lines.Text(), step(t, s, strings.Fields(lines.Text())))
			}
			goldie.New(t).Assert(t, name, []byte(out.String()))
		})
	}
}

func step(t *testing.T, s *Spreader, w []string) string {
	t.Helper()
	num := func(i int) uint64 {
		n, err := strconv.ParseUint(w[i], 10, 64)
		if err != nil {
			t.Fatalf("%v: %v", w, err)
		}
		return n
	}
	now := start.Add(time.Duration(num(0)) * time.Millisecond)
	receive := func(peer string, m message.Message) string {
		effects, known := s.Receive(now, peer, m)
		if !known {
			t.Fatalf("kind %s is not known", m.Kind())
		}
		return show(effects)
	}
	switch w[1] {
	case "roster":
		return show(s.SetRoster(now, parse(t, w[2:])))
	case "spread":
		n, effects := s.Spread(now, s.Guard.Merge(now, marks(w[2])))
		return fmt.Sprintf("    batch %d\n%s", n, show(effects))
	case "pending":
		return fmt.Sprintf("    %v\n", s.Pending(num(2)))
	case "synced":
		return fmt.Sprintf("    %v\n", s.Synced())
	case "tick":
		return show(s.Tick(now))
	case "marks":
		return receive(w[2], newMarks(num(3), hop(num(4)), marks(w[5])))
	case "taken":
		return receive(w[2], newTaken(num(3)))
	case "pull":
		return receive(w[2], message.New(kindPull, &pullBody{Incarnation: num(3), Sequence: num(4), Relay: len(w) > 5}))
	case "page":
		return receive(w[2], message.New(kindPage, &pageBody{Incarnation: num(3), Sequence: num(4), Marks: marks(w[5]), More: len(w) > 6}))
	}
	t.Fatalf("unknown step %v", w)
	return ""
}

func parse(t *testing.T, w []string) roster.Roster {
	t.Helper()
	seat, err := strconv.Atoi(w[0])
	if err != nil {
		t.Fatal(err)
	}
	f := roster.Fields{LeaseIndex: seat}
	for _, o := range w[1:] {
		name, list, _ := strings.Cut(o, "=")
		switch name {
		case "gateway":
			f.Gateway = true
		case "relays":
			f.Relays = strings.Split(list, ",")
		case "region":
			f.RegionRelays = strings.Split(list, ",")
		case "remote":
			f.RemoteGateways = strings.Split(list, ",")
		default:
			t.Fatalf("unknown option %s", o)
		}
	}
	return roster.New(f)
}

func marks(print string) []mark.Mark {
	print = strings.Repeat("0", 32-len(print)) + print
	return []mark.Mark{mark.New(mark.Fields{Endpoint: "n1", Incarnation: 1, Counter: 1, Fingerprint: print, TimeLeft: guard.MarkLifetime})}
}

func show(effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		fmt.Fprintf(&out, "    to %s: ", e.Peer())
		switch b := e.Message().Body().(type) {
		case *marksBody:
			fmt.Fprintf(&out, "marks batch %d hop %d%s\n", b.Batch, b.Hop, prints(b.Marks))
		case *takenBody:
			fmt.Fprintf(&out, "taken batch %d\n", b.Batch)
		case *pullBody:
			fmt.Fprintf(&out, "pull life %d sequence %d relay %v\n", b.Incarnation, b.Sequence, b.Relay)
		case *pageBody:
			fmt.Fprintf(&out, "page life %d sequence %d more %v%s\n", b.Incarnation, b.Sequence, b.More, prints(b.Marks))
		}
	}
	return out.String()
}

func prints(ms []mark.Mark) string {
	var out strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&out, " %s", strings.TrimLeft(m.Fingerprint(), "0"))
	}
	return out.String()
}

// TestBounds guards against memory that grows with messages of others.
func TestBounds(t *testing.T) {
	s := &Spreader{Node: "self", Incarnation: 9, Guard: &guard.Guard{Node: "self", Incarnation: 9}}
	s.SetRoster(start, roster.New(roster.Fields{LeaseIndex: 0, RegionRelays: []string{"r1"}}))
	for i := range uint64(2 * maxBatches) {
		s.Receive(start, "n1", newMarks(i, toRelay, marks("a")))
	}
	for i := range 2 * maxAskers {
		s.Receive(start, fmt.Sprintf("n%d", i), message.New(kindPull, &pullBody{}))
	}
	if len(s.batches) != maxBatches || len(s.askers) != maxAskers {
		t.Errorf("%d batches and %d askers are held", len(s.batches), len(s.askers))
	}
	s.Tick(start.Add(pulledLately))
	if len(s.batches) != 0 || len(s.askers) != 0 {
		t.Errorf("%d batches and %d askers are held after their time", len(s.batches), len(s.askers))
	}
}
