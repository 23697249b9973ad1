package canary

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/share"
)

// TestMove guards against moves that miss their deadline or give a version its share before it has proven itself.
func TestMove(t *testing.T) {
	for _, c := range []struct {
		name   string
		period time.Duration
		ready  time.Duration // when the new version's endpoints are there
	}{{"twelve-seconds", 12 * time.Second, time.Second}, {"sixteen-seconds", 16 * time.Second, 2 * time.Second}, {"late-endpoints", 16 * time.Second, 9 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			var begun, changed time.Duration
			permille := 0
			for at := time.Duration(0); at < 2*c.period; at += 50 * time.Millisecond {
				p := Progress{Period: c.period, StartDelay: begun, Permille: permille, TimeAtShare: at - changed}
				if at >= c.ready {
					p.ReadyEndpoints = 3
				}
				s := Next(p)
				if s.Permille() != permille {
					if permille == 0 {
						begun = at
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

// TestJudge guards against bad versions that pass, and against good ones that are taken back for trouble that is not
// theirs.
func TestJudge(t *testing.T) {
	fresh := func(instance string, calls, failures, slow uint32) OutcomeCounts {
		return OutcomeCounts{Rule: "read", Instance: instance, NewVersion: true, Calls: calls, Failures: failures, Slow: slow}
	}
	old := func(calls, failures, slow uint32) OutcomeCounts {
		return OutcomeCounts{Rule: "read", Calls: calls, Failures: failures, Slow: slow}
	}
	cases := []struct {
		name  string
		cells []OutcomeCounts
	}{
		{"good", []OutcomeCounts{fresh("n1", 50, 0, 2), fresh("n2", 50, 1, 1), old(1000, 5, 20)}},
		{"half-fail", []OutcomeCounts{fresh("n1", 5, 3, 0), fresh("n2", 5, 2, 0), old(200, 0, 0)}},
		{"half-slow", []OutcomeCounts{fresh("n1", 6, 0, 3), fresh("n2", 6, 0, 3), old(200, 0, 4)}},
		{"too-few", []OutcomeCounts{fresh("n1", 2, 1, 0), fresh("n2", 1, 1, 0), old(200, 0, 0)}},
		{"one-faulty-host", []OutcomeCounts{fresh("n1", 20, 9, 0), fresh("n2", 20, 0, 0), old(200, 0, 0)}},
		{"one-endpoint-in-all", []OutcomeCounts{fresh("n1", 20, 9, 0), old(200, 0, 0)}},
		{"both-versions-suffer", []OutcomeCounts{fresh("n1", 20, 6, 0), fresh("n2", 20, 6, 0), old(200, 60, 0)}},
		{"one-rule-only", []OutcomeCounts{
			fresh("n1", 200, 0, 0), fresh("n2", 200, 0, 0), old(1000, 0, 0),
			{Rule: "confirm", Instance: "n1", NewVersion: true, Calls: 6, Failures: 3}, {Rule: "confirm", Instance: "n2", NewVersion: true, Calls: 6, Failures: 3}, {Rule: "confirm", Calls: 60},
		}},
		{"no-old-calls", []OutcomeCounts{fresh("n1", 10, 4, 0), fresh("n2", 10, 4, 0)}},
	}
	var out strings.Builder
	for _, c := range cases {
		why := Evaluate(c.cells)
		if why == "" {
			why = "not bad"
		}
		fmt.Fprintf(&out, "%-21s %s\n", c.name, why)
	}
	goldie.New(t).Assert(t, "judge", []byte(out.String()))
}

// TestHarm guards against a share that lets a version which turns bad after some seconds harm more than a tenth of the
// service's calls by its deadline: 150 calls a second, half of them fail from 3.5 s on, evidence arrives after 0.5 s.
func TestHarm(t *testing.T) {
	const rate, period, delay = 150.0, 14 * time.Second, 500 * time.Millisecond
	var begun, changed time.Duration
	permille, given, calls, fails := 0, 0.0, 0.0, 0.0
	type seen struct {
		at    time.Duration
		cells []OutcomeCounts
	}
	var history []seen
	for at := time.Duration(0); at < period; at += 50 * time.Millisecond {
		s := Next(Progress{Period: period, StartDelay: begun, Permille: permille, TimeAtShare: at - changed, ReadyEndpoints: 2})
		if s.Permille() != permille {
			if permille == 0 {
				begun = at
			}
			permille, changed = s.Permille(), at
		}
		n := rate * 0.05 * float64(permille) / share.FullPermille
		given += n
		calls += n
		if at >= 3500*time.Millisecond {
			fails += n / 2
		}
		half := uint32(calls / 2)
		history = append(history, seen{at, []OutcomeCounts{
			{Rule: "r", Instance: "a", NewVersion: true, Calls: half, Failures: uint32(fails / 2)},
			{Rule: "r", Instance: "b", NewVersion: true, Calls: half, Failures: uint32(fails / 2)},
			{Rule: "r", Calls: uint32(rate * at.Seconds())},
		}})
		for _, h := range history {
			if h.at == at-delay && Evaluate(h.cells) != "" {
				t.Logf("taken back after %v with %.0f calls given", at, given)
				if most := 0.1*rate*period.Seconds() + 50; given > most {
					t.Errorf("%.0f calls were given to the bad version, at most %.0f may be", given, most)
				}
				return
			}
		}
	}
	t.Error("the bad version was not found")
}
