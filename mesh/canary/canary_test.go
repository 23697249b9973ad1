package canary

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/share"
)

// TestNext guards against moves that miss their deadline or raise the new version's share too early.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		name   string
		period time.Duration
		ready  time.Duration // when the new version's endpoints become ready
	}{{"twelve-seconds", 12 * time.Second, time.Second}, {"sixteen-seconds", 16 * time.Second, 2 * time.Second}, {"late-endpoints", 16 * time.Second, 9 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			var startDelay, changed time.Duration
			permille := 0
			for at := time.Duration(0); at < 2*c.period; at += 50 * time.Millisecond {
				p := Progress{Period: c.period, StartDelay: startDelay, Permille: permille, TimeAtShare: at - changed}
				if at >= c.ready {
					p.ReadyEndpoints = 3
				}
				s := Next(p)
				if s.Permille() != permille {
					if permille == 0 {
						startDelay = at
					}
					permille, changed = s.Permille(), at
					fmt.Fprintf(&out, "%5d ms: %4d of 1000\n", at.Milliseconds(), permille)
				}
				if s.Done() {
					fmt.Fprintf(&out, "%5d ms: done\n", at.Milliseconds())
					if at > c.period {
						t.Errorf("done after %v, the deadline is %v", at, c.period)
					}
					break
				}
			}
			goldie.New(t).Assert(t, c.name, []byte(out.String()))
		})
	}
}

// TestEvaluate guards against bad versions that are not found, and against good ones that are taken back because of one
// faulty host or a fault that affects both versions.
func TestEvaluate(t *testing.T) {
	newCell := func(instance string, calls, failures, slow uint32) OutcomeCounts {
		return OutcomeCounts{Rule: "read", Instance: instance, NewVersion: true, Calls: calls, Failures: failures, Slow: slow}
	}
	oldCell := func(calls, failures, slow uint32) OutcomeCounts {
		return OutcomeCounts{Rule: "read", Calls: calls, Failures: failures, Slow: slow}
	}
	cases := []struct {
		name  string
		cells []OutcomeCounts
	}{
		{"good", []OutcomeCounts{newCell("n1", 50, 0, 2), newCell("n2", 50, 1, 1), oldCell(1000, 5, 20)}},
		{"half-fail", []OutcomeCounts{newCell("n1", 5, 3, 0), newCell("n2", 5, 2, 0), oldCell(200, 0, 0)}},
		{"half-slow", []OutcomeCounts{newCell("n1", 6, 0, 3), newCell("n2", 6, 0, 3), oldCell(200, 0, 4)}},
		{"too-few", []OutcomeCounts{newCell("n1", 2, 1, 0), newCell("n2", 1, 1, 0), oldCell(200, 0, 0)}},
		{"one-faulty-host", []OutcomeCounts{newCell("n1", 20, 9, 0), newCell("n2", 20, 0, 0), oldCell(200, 0, 0)}},
		{"one-endpoint-in-all", []OutcomeCounts{newCell("n1", 20, 9, 0), oldCell(200, 0, 0)}},
		{"both-versions-suffer", []OutcomeCounts{newCell("n1", 20, 6, 0), newCell("n2", 20, 6, 0), oldCell(200, 60, 0)}},
		{"one-rule-only", []OutcomeCounts{
			newCell("n1", 200, 0, 0), newCell("n2", 200, 0, 0), oldCell(1000, 0, 0),
			{Rule: "confirm", Instance: "n1", NewVersion: true, Calls: 6, Failures: 3}, {Rule: "confirm", Instance: "n2", NewVersion: true, Calls: 6, Failures: 3}, {Rule: "confirm", Calls: 60},
		}},
		// Calls that fail because a service behind the endpoints does, as one node alone saw them.
		{"few-calls", []OutcomeCounts{newCell("n1", 6, 2, 0), newCell("n2", 6, 2, 0), oldCell(83, 3, 0)}},
		{"few-old-calls", []OutcomeCounts{newCell("n1", 18, 3, 0), newCell("n2", 18, 3, 0), oldCell(64, 0, 0)}},
		{"bad-while-old-suffers", []OutcomeCounts{newCell("n1", 50, 40, 0), newCell("n2", 50, 40, 0), oldCell(1000, 550, 0)}},
		{"one-endpoint-gets-calls", []OutcomeCounts{newCell("n1", 32, 16, 0), newCell("n2", 3, 0, 0), oldCell(200, 0, 0)}},
		{"shed-by-both", []OutcomeCounts{
			{Rule: "read", Instance: "n1", NewVersion: true, Calls: 500, Shed: 150}, {Rule: "read", Instance: "n2", NewVersion: true, Calls: 500, Shed: 150}, oldCell(3000, 20, 0),
		}},
		{"shed-by-new", []OutcomeCounts{
			{Rule: "read", Instance: "n1", NewVersion: true, Calls: 10, Shed: 9}, {Rule: "read", Instance: "n2", NewVersion: true, Calls: 10, Shed: 8}, oldCell(3000, 20, 0),
		}},
		{"no-old-calls", []OutcomeCounts{newCell("n1", 10, 4, 0), newCell("n2", 10, 4, 0)}},
	}
	var out strings.Builder
	for _, c := range cases {
		why := Evaluate(c.cells)
		if why == "" {
			why = "not bad"
		}
		fmt.Fprintf(&out, "%-21s %s\n", c.name, why)
	}
	goldie.New(t).Assert(t, "evaluate", []byte(out.String()))
}

// TestCallsToBadVersion guards against stages that let a version which turns bad after some seconds get more than a
// tenth of the service's calls before it is taken back: 150 calls a second, half of the new version's calls fail from
// 3.5 s on, and counts arrive 0.5 s late.
func TestCallsToBadVersion(t *testing.T) {
	const rate, period, delay = 150.0, 14 * time.Second, 500 * time.Millisecond
	var startDelay, changed time.Duration
	permille, newCalls, calls, fails := 0, 0.0, 0.0, 0.0
	type observation struct {
		at    time.Duration
		cells []OutcomeCounts
	}
	var history []observation
	for at := time.Duration(0); at < period; at += 50 * time.Millisecond {
		s := Next(Progress{
			Period: period, StartDelay: startDelay, Permille: permille, TimeAtShare: at - changed, ReadyEndpoints: 2,
		})
		if s.Permille() != permille {
			if permille == 0 {
				startDelay = at
			}
			permille, changed = s.Permille(), at
		}
		n := rate * 0.05 * float64(permille) / share.FullPermille
		newCalls += n
		calls += n
		if at >= 3500*time.Millisecond {
			fails += n / 2
		}
		half := uint32(calls / 2)
		history = append(history, observation{at, []OutcomeCounts{
			{Rule: "r", Instance: "a", NewVersion: true, Calls: half, Failures: uint32(fails / 2)},
			{Rule: "r", Instance: "b", NewVersion: true, Calls: half, Failures: uint32(fails / 2)},
			{Rule: "r", Calls: uint32(rate * at.Seconds())},
		}})
		for _, h := range history {
			if h.at == at-delay && Evaluate(h.cells) != "" {
				t.Logf("taken back after %v and %.0f calls", at, newCalls)
				if most := 0.1*rate*period.Seconds() + 50; newCalls > most {
					t.Errorf("%.0f calls went to the bad version, at most %.0f may", newCalls, most)
				}
				return
			}
		}
	}
	t.Error("the bad version was not found")
}
