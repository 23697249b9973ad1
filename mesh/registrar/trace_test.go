package registrar_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/registrar/scenario"
)

// traced is the fleet used for the traces: one service, two data centres of one region, four nodes in each.
var traced = scenario.Config{Regions: 1, Nodes: 8, Services: 1}

// tracedNode is the node whose sets are traced, an ordinary node of r0-b.
const tracedNode = "10.1.0.7:7000"

// runLine runs one line of a script on the fleet.
func runLine(t *testing.T, f *scenario.Fleet, line string) {
	t.Helper()
	word, value, _ := strings.Cut(line, " ")
	switch word {
	case "run":
		d, err := time.ParseDuration(value)
		if err != nil {
			t.Fatal(err)
		}
		f.Simulator().Run(d)
	case "leave":
		f.Leave(value)
	case "kill":
		f.Kill(value)
	case "restart":
		f.Restart(value)
	case "freeze":
		f.Pause(value)
	case "thaw":
		f.Resume(value)
	case "store":
		f.Simulator().Store().SetUnavailable(value == "out")
	default:
		t.Fatalf("unknown word %q", word)
	}
}

// traceLine formats a set as one line, with the last number of each address.
func traceLine(at time.Duration, g group.Group) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s/%s (%d, %d)", at.Seconds(), g.DataCentre(), g.Service(), g.Epoch(), g.Sequence())
	for _, e := range g.Endpoints() {
		host := strings.TrimSuffix(e.Address(), ":7000")
		fmt.Fprintf(&b, " %s=%s", host[strings.LastIndex(host, ".")+1:], e.State())
	}
	return b.String() + "\n"
}

// Guards against unnoticed changes in the owner's decisions.
func TestTraces(t *testing.T) {
	t.Parallel()
	scripts, err := filepath.Glob("testdata/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		name := strings.TrimSuffix(filepath.Base(path), ".script")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var trace strings.Builder
			f := scenario.New(1, traced, nil)
			start := f.Simulator().Now()
			published := f.Simulator().OnPublish
			f.Simulator().OnPublish = func(now time.Time, node string, value any) {
				published(now, node, value)
				if g, ok := value.(group.Group); ok && node == tracedNode && g.DataCentre() == "r0-a" {
					trace.WriteString(traceLine(now.Sub(start), g))
				}
			}
			for _, line := range strings.Split(strings.TrimSpace(string(script)), "\n") {
				fmt.Fprintf(&trace, "> %s\n", line)
				runLine(t, f, line)
			}
			goldie.New(t).Assert(t, name, []byte(trace.String()))
		})
	}
}
