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

// counted returns an outcome; fast calls are in bucket 4, slow ones in bucket 7.
func counted(route, region string, calls, failures, slow, crashes uint64) outcome.Outcome {
	var latency [outcome.Buckets]uint64
	latency[4], latency[7] = calls-slow, slow
	return outcome.New(outcome.Key{Service: "ergebnis", Route: route, Region: region}, calls, failures, crashes, 0, latency)
}

// A case is a file of lines:
//
//	window <times> every <duration>
//	cell <route> <region> new <calls> <failures> <slow> <crashes> old <calls> <failures> <slow> <crashes> [cold]
//	run      gives the cells to the judge the stated number of times
//	step <permille>
//	wait <duration>
//
// TestTraces guards against findings that change for given evidence: too early, too late, on the wrong route, or with
// another sentence.
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
			assertGolden(t, name, trace(t, data))
		})
	}
}

type tracer struct {
	judge *Judge
	now   time.Time
	times int
	every time.Duration
	cells []StratumOutcomes
	last  Finding
	lines int
	out   bytes.Buffer
}

func trace(t *testing.T, data []byte) []byte {
	tr := &tracer{judge: New("v1", "v2"), now: epoch}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		tr.line(t, line)
	}
	for _, e := range tr.judge.Result().Evidence() {
		fmt.Fprintf(&tr.out, "evidence %s new %d/%d old %d/%d %s\n", e.Route, e.NewFailures, e.NewCalls, e.OldFailures, e.OldCalls, e.Verdict)
	}
	return tr.out.Bytes()
}

func (tr *tracer) line(t *testing.T, line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "window":
		var every string
		scan(t, rest, "%d every %s", &tr.times, &every)
		d, err := time.ParseDuration(every)
		if err != nil {
			t.Fatal(err)
		}
		tr.every, tr.cells = d, nil
	case "cell":
		tr.cells = append(tr.cells, parseCell(t, rest))
	case "run":
		for range tr.times {
			tr.now = tr.now.Add(tr.every)
			tr.judge.Add(tr.now, tr.cells)
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

func parseCell(t *testing.T, text string) StratumOutcomes {
	c := StratumOutcomes{}
	text, c.WarmingUp = strings.CutSuffix(text, " cold")
	var n, o [4]uint64
	scan(t, text, "%s %s new %d %d %d %d old %d %d %d %d", &c.Route, &c.EndpointRegion,
		&n[0], &n[1], &n[2], &n[3], &o[0], &o[1], &o[2], &o[3])
	c.CallerRegion = c.EndpointRegion
	c.New = counted(c.Route, c.EndpointRegion, n[0], n[1], n[2], n[3])
	c.Old = counted(c.Route, c.EndpointRegion, o[0], o[1], o[2], o[3])
	return c
}

// print writes the result when its finding changed, and each tenth time what is still needed.
func (tr *tracer) print() {
	r := tr.judge.Result()
	tr.lines++
	if r.Finding() != tr.last || tr.lines%10 == 1 {
		fmt.Fprintf(&tr.out, "%s %s route=%q %s\n", tr.now.Sub(epoch), r.Finding(), r.Route(), r.Message())
	}
	tr.last = r.Finding()
}
