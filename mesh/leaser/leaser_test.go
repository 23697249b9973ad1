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

// TestTraces runs the commands of each case under testdata against one stored lease and compares each node's view of it
// after every command with the golden file. A case's first line says which failure it guards against.
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
			goldie.New(t).Assert(t, name, []byte(newCluster().runCommands(t, string(commands))))
		})
	}
}

// cluster has one stored lease and the nodes that compete for it.
type cluster struct {
	stored   object.Object
	revision int
	nodes    map[string]*Lease
	start    time.Time
}

func newCluster() *cluster {
	c := &cluster{nodes: map[string]*Lease{}, start: time.UnixMilli(1_000_000)}
	for _, n := range []string{"a", "b", "a2"} {
		incarnation := uint64(1)
		if n == "a2" {
			incarnation = 2
		}
		c.nodes[n] = &Lease{
			Name: "relay-obb-a-0", Node: n[:1], Incarnation: incarnation, Duration: 3 * time.Second,
			DataCentre: "obb-a", Region: "obb",
		}
	}
	return c
}

// runCommands runs lines of "<milliseconds> <node> <command>"; node a2 is node a after a restart. It returns each line
// with the command's outcome and the node's view.
func (c *cluster) runCommands(t *testing.T, commands string) string {
	var out strings.Builder
	for line := range strings.Lines(commands) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		ms, err := strconv.Atoi(words[0])
		if err != nil || len(words) < 3 {
			t.Fatalf("malformed line %q", line)
		}
		now := c.start.Add(time.Duration(ms) * time.Millisecond)
		l := c.nodes[words[1]]
		outcome := c.runCommand(t, now, l, words[2:])
		fmt.Fprintf(&out, "%-22s %-9s epoch %d holder %-2q recorded %-5v held %-5v claimable %-5v abandoned %d\n",
			strings.TrimSpace(line), outcome, l.Record().Epoch(), l.Record().Holder(), l.IsRecordedHolder(),
			l.Held(now), l.CanClaim(now), l.AbandonedVersion())
	}
	return out.String()
}

func (c *cluster) runCommand(t *testing.T, now time.Time, l *Lease, words []string) string {
	switch words[0] {
	case "check":
		return ""
	case "read":
		l.Observe(now, c.stored)
		return ""
	case "observe-renewal":
		l.ObserveRenewal(now, c.nodes[words[1]].Record().Epoch(), c.nodes[words[1]].Record().Renewed())
		return ""
	case "corrupt":
		c.revision++
		c.stored = object.New(Plural, l.Name, strconv.Itoa(c.revision), []byte("{"))
		return ""
	}
	pendingVersion := uint64(0)
	if len(words) > 1 {
		pendingVersion, _ = strconv.ParseUint(words[1], 10, 64)
	}
	kind, o := l.ClaimOrRenew(now, pendingVersion)
	if words[0] == "release" {
		kind, o = l.Release(now)
	}
	if exists := c.stored.Revision() != ""; exists == (kind == effect.Create) || o.Revision() != c.stored.Revision() {
		return "conflict"
	}
	c.revision++
	c.stored = object.New(o.Plural(), o.Name(), strconv.Itoa(c.revision), o.Spec())
	if words[0] == "write-lost" {
		return "lost"
	}
	l.Observe(now, c.stored)
	return "stored"
}
