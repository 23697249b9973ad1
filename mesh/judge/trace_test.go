package judge

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/outcome"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newOutcome returns an outcome; fast calls are in bucket 4, slow ones in bucket 7.
func newOutcome(route, region string, calls, failures, slow, crashes uint64) outcome.Outcome {
	var latency [outcome.Buckets]uint64
	latency[4], latency[7] = calls-slow, slow
	return outcome.New(outcome.Key{Service: "ergebnis", Route: route, Region: region},
		calls, failures, crashes, 0, latency)
}

// TestTraces guards against findings that change for given evidence: too early, too late, on the wrong route, or with
// another message. A case is a file of these lines:
//
//	window <times> every <duration>   starts an empty list of strata
//	cell <route> <region> new <calls> <failures> <slow> <crashes> old <calls> <failures> <slow> <crashes> [cold]
//	run                the judge adds the strata once in each window
//	step <permille>    starts the step of this share
//	wait <duration>    sets the wait limit
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.case")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".case")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			assertGolden(t, name, runCase(t, data))
		})
	}
}

type caseRunner struct {
	judge       *Judge
	now         time.Time
	times       int
	every       time.Duration
	strata      []StratumOutcomes
	lastFinding Finding
	prints      int
	out         bytes.Buffer
}

func runCase(t *testing.T, data []byte) []byte {
	tr := &caseRunner{judge: New("v1", "v2"), now: epoch}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		tr.runLine(t, line)
	}
	for _, e := range tr.judge.Result().Evidence() {
		fmt.Fprintf(&tr.out, "evidence %s new %d/%d old %d/%d %s\n",
			e.Route, e.NewFailures, e.NewCalls, e.OldFailures, e.OldCalls, e.Verdict)
	}
	return tr.out.Bytes()
}

func (tr *caseRunner) runLine(t *testing.T, line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "window":
		var every string
		scan(t, rest, "%d every %s", &tr.times, &every)
		d, err := time.ParseDuration(every)
		if err != nil {
			t.Fatal(err)
		}
		tr.every, tr.strata = d, nil
	case "cell":
		tr.strata = append(tr.strata, parseStratum(t, rest))
	case "run":
		for range tr.times {
			tr.now = tr.now.Add(tr.every)
			tr.judge.Add(tr.now, tr.strata)
			tr.print()
		}
	case "wait":
		d, err := time.ParseDuration(rest)
		if err != nil {
			t.Fatal(err)
		}
		tr.judge.SetMaxWait(d)
	case "step":
		var permille int
		scan(t, rest, "%d", &permille)
		tr.judge.StartStep(permille)
		fmt.Fprintf(&tr.out, "step %d\n", permille)
		tr.print()
	default:
		t.Fatalf("unknown line %q", line)
	}
}

func scan(t *testing.T, text, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Sscanf(text, format, args...); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}

func parseStratum(t *testing.T, text string) StratumOutcomes {
	c := StratumOutcomes{}
	text, c.WarmingUp = strings.CutSuffix(text, " cold")
	var n, o [4]uint64
	scan(t, text, "%s %s new %d %d %d %d old %d %d %d %d", &c.Route, &c.EndpointRegion,
		&n[0], &n[1], &n[2], &n[3], &o[0], &o[1], &o[2], &o[3])
	c.CallerRegion = c.EndpointRegion
	c.New = newOutcome(c.Route, c.EndpointRegion, n[0], n[1], n[2], n[3])
	c.Old = newOutcome(c.Route, c.EndpointRegion, o[0], o[1], o[2], o[3])
	return c
}

// print writes the result when its finding has changed, and otherwise every tenth time.
func (tr *caseRunner) print() {
	r := tr.judge.Result()
	tr.prints++
	if r.Finding() != tr.lastFinding || tr.prints%10 == 1 {
		fmt.Fprintf(&tr.out, "%s %s route=%q %s\n", tr.now.Sub(epoch), r.Finding(), r.Route(), r.Message())
	}
	tr.lastFinding = r.Finding()
}
