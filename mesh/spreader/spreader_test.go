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

// start is a fixed time, so that the output is reproducible.
var start = time.Unix(1000, 0)

// TestSpreader guards against marks that do not reach a node, confirmations that are sent too early, and marks that are
// forwarded in circles. Each file testdata/*.txt is a case with one step per line: the time in milliseconds, then one
// of
//
//	roster LEASEINDEX [gateway] [relays=A,B] [region=A,B] [remote=A,B]
//	spread FINGERPRINT | pending BATCH | synced | tick
//	marks PEER BATCH HOP FINGERPRINT | taken PEER BATCH
//	pull PEER INCARNATION SEQUENCE [relay] | page PEER INCARNATION SEQUENCE FINGERPRINT [more]
//
// A taken message is a confirmation; "life" in the golden files is an incarnation.
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

func step(t *testing.T, s *Spreader, words []string) string {
	t.Helper()
	num := func(i int) uint64 {
		n, err := strconv.ParseUint(words[i], 10, 64)
		if err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		return n
	}
	now := start.Add(time.Duration(num(0)) * time.Millisecond)
	receive := func(peer string, m message.Message) string {
		effects, handled := s.Receive(now, peer, m)
		if !handled {
			t.Fatalf("kind %s is not handled", m.Kind())
		}
		return formatEffects(effects)
	}
	switch words[1] {
	case "roster":
		return formatEffects(s.SetRoster(now, parseRoster(t, words[2:])))
	case "spread":
		n, effects := s.Spread(now, s.Guard.Merge(now, marks(words[2])))
		return fmt.Sprintf("    batch %d\n%s", n, formatEffects(effects))
	case "pending":
		return fmt.Sprintf("    %v\n", s.Pending(num(2)))
	case "synced":
		return fmt.Sprintf("    %v\n", s.Synced())
	case "tick":
		return formatEffects(s.Tick(now))
	case "marks":
		return receive(words[2], newMarks(num(3), hop(num(4)), marks(words[5])))
	case "taken":
		return receive(words[2], newConfirmation(num(3)))
	case "pull":
		return receive(words[2], message.New(kindPull, &pullBody{Incarnation: num(3), Sequence: num(4), Relay: len(words) > 5}))
	case "page":
		return receive(words[2], message.New(kindPage, &pageBody{Incarnation: num(3), Sequence: num(4), Marks: marks(words[5]), More: len(words) > 6}))
	}
	t.Fatalf("unknown step %v", words)
	return ""
}

func parseRoster(t *testing.T, words []string) roster.Roster {
	t.Helper()
	leaseIndex, err := strconv.Atoi(words[0])
	if err != nil {
		t.Fatal(err)
	}
	fields := roster.Fields{LeaseIndex: leaseIndex}
	for _, option := range words[1:] {
		name, list, _ := strings.Cut(option, "=")
		switch name {
		case "gateway":
			fields.Gateway = true
		case "relays":
			fields.Relays = strings.Split(list, ",")
		case "region":
			fields.RegionRelays = strings.Split(list, ",")
		case "remote":
			fields.RemoteGateways = strings.Split(list, ",")
		default:
			t.Fatalf("unknown option %s", option)
		}
	}
	return roster.New(fields)
}

// marks returns one mark with the fingerprint, padded with zeros.
func marks(fingerprint string) []mark.Mark {
	fingerprint = strings.Repeat("0", 32-len(fingerprint)) + fingerprint
	return []mark.Mark{mark.New(mark.Fields{Endpoint: "n1", Incarnation: 1, Counter: 1, Fingerprint: fingerprint, TimeLeft: guard.MarkLifetime})}
}

func formatEffects(effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		fmt.Fprintf(&out, "    to %s: ", e.Peer())
		switch b := e.Message().Body().(type) {
		case *marksBody:
			fmt.Fprintf(&out, "marks batch %d hop %d%s\n", b.Batch, b.Hop, formatFingerprints(b.Marks))
		case *confirmationBody:
			fmt.Fprintf(&out, "taken batch %d\n", b.Batch)
		case *pullBody:
			fmt.Fprintf(&out, "pull life %d sequence %d relay %v\n", b.Incarnation, b.Sequence, b.Relay)
		case *pageBody:
			fmt.Fprintf(&out, "page life %d sequence %d more %v%s\n", b.Incarnation, b.Sequence, b.More, formatFingerprints(b.Marks))
		}
	}
	return out.String()
}

func formatFingerprints(ms []mark.Mark) string {
	var out strings.Builder
	for _, m := range ms {
		fmt.Fprintf(&out, " %s", strings.TrimLeft(m.Fingerprint(), "0"))
	}
	return out.String()
}

// TestBounds guards against batches and pullers whose number grows without limit with the messages of other nodes.
func TestBounds(t *testing.T) {
	s := &Spreader{Node: "self", Incarnation: 9, Guard: &guard.Guard{Node: "self", Incarnation: 9}}
	s.SetRoster(start, roster.New(roster.Fields{LeaseIndex: 0, RegionRelays: []string{"r1"}}))
	for i := range uint64(2 * maxBatches) {
		s.Receive(start, "n1", newMarks(i, toRelay, marks("a")))
	}
	for i := range 2 * maxPullers {
		s.Receive(start, fmt.Sprintf("n%d", i), message.New(kindPull, &pullBody{}))
	}
	if len(s.batches) != maxBatches || len(s.pullers) != maxPullers {
		t.Errorf("%d batches and %d pullers are held", len(s.batches), len(s.pullers))
	}
	s.Tick(start.Add(pullerTTL))
	if len(s.batches) != 0 || len(s.pullers) != 0 {
		t.Errorf("%d batches and %d pullers are held after they have expired", len(s.batches), len(s.pullers))
	}
}
