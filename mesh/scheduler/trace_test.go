package scheduler

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/share"
)

var requestedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestTraces guards against steps without evidence, steps or warnings that come too late for the deadline, and changes
// of the sentences for operators. A case is a file of these lines:
//
//	ask deadline <duration> settle <duration> rate <calls a second>
//	ready <duration>                the new version has an endpoint from this time on
//	evidence <duration>             the evidence at each share is good after that time
//	doubt from <duration> to <duration>   the evidence is not good in this time
//	suspect from <duration> to <duration> an alarm waits for calls of the old version in this time
//	frozen from <duration> to <duration>  no decision is carried out in this time, as in a store outage
//	play <duration>                 makes and carries out one decision each second
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
			assertGolden(t, name, runCase(t, string(data)))
		})
	}
}

type timeRange struct{ from, to time.Duration }

func (r timeRange) contains(d time.Duration) bool { return d >= r.from && d < r.to }

type simulation struct {
	input         Input
	ready         time.Duration
	evidence      time.Duration
	doubt, frozen timeRange
	suspect       timeRange
	out           bytes.Buffer
	lastLine      string
}

func runCase(t *testing.T, data string) []byte {
	s := &simulation{input: Input{Version: "v2", ShareSetAt: requestedAt, Finding: judge.Undecided}}
	for line := range strings.Lines(data) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			s.runLine(t, line)
		}
	}
	return s.out.Bytes()
}

func (s *simulation) runLine(t *testing.T, line string) {
	words := strings.Fields(line)
	switch words[0] {
	case "ask":
		s.input.Deadline = requestedAt.Add(duration(t, words[2]))
		s.input.Settle = duration(t, words[4])
		if _, err := fmt.Sscan(words[6], &s.input.CallRate); err != nil {
			t.Fatal(err)
		}
	case "ready":
		s.ready = duration(t, words[1])
	case "evidence":
		s.evidence = duration(t, words[1])
	case "doubt":
		s.doubt = timeRange{duration(t, words[2]), duration(t, words[4])}
	case "suspect":
		s.suspect = timeRange{duration(t, words[2]), duration(t, words[4])}
	case "frozen":
		s.frozen = timeRange{duration(t, words[2]), duration(t, words[4])}
	case "play":
		s.run(duration(t, words[1]))
	default:
		t.Fatalf("unknown line %q", line)
	}
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (s *simulation) run(limit time.Duration) {
	for at := time.Duration(0); at <= limit; at += time.Second {
		if s.frozen.contains(at) {
			continue
		}
		if s.decide(at) {
			return
		}
	}
}

// decide makes and carries out one decision, and reports whether the rollout has ended.
func (s *simulation) decide(at time.Duration) bool {
	in := &s.input
	in.Now = requestedAt.Add(at)
	in.HasReadyEndpoint = at >= s.ready
	in.Finding, in.CallsNeeded = judge.Undecided, judge.EstimateCallsNeeded(max(in.Share, 1))
	if in.Share > 0 && in.Now.Sub(in.ShareSetAt) >= s.evidence && !s.doubt.contains(at) {
		in.Finding, in.CallsNeeded = judge.Good, 0
	}
	if s.suspect.contains(at) {
		in.Finding = judge.Suspect
	}
	d := Plan(*in)
	if line := fmt.Sprintf("%s %d late=%v finding=%s",
		d.Action(), d.Share(), d.DeadlineAtRisk(), in.Finding); line != s.lastLine {
		s.lastLine = line
		fmt.Fprintf(&s.out, "%s at %d: %s; %s; next: %s\n", at, in.Share, line, d.Reason(), d.NextStep())
	}
	if d.Action() == Widen || d.Action() == Narrow {
		in.Share, in.ShareSetAt = d.Share(), in.Now
	}
	return d.Action() == Finish || d.Action() == TakeBack
}

// Guards against a plan that breaks a rule for some random input: a step without good evidence, a first share above 5%
// or without an endpoint, a step that does not increase the share, an early finish, no rollback after the deadline, a
// rollback without a reason.
func TestKeepsRules(t *testing.T) {
	for seed := range uint64(20000) {
		in := randomInput(seed)
		d := Plan(in)
		evidence := in.Finding == judge.Good
		switch {
		case d.Action() == Widen && in.Share > 0 && !evidence:
			t.Fatalf("%+v: widened without evidence", in)
		case d.Action() == Widen && in.Share == 0 && (d.Share() > 50 || !in.HasReadyEndpoint):
			t.Fatalf("%+v: started at %d", in, d.Share())
		case d.Action() == Widen && d.Share() <= in.Share:
			t.Fatalf("%+v: widened to %d", in, d.Share())
		case d.Action() == Finish &&
			(in.Share < share.FullPermille || !evidence || in.Now.Before(in.ShareSetAt.Add(in.Settle))):
			t.Fatalf("%+v: finished", in)
		case in.Share < share.FullPermille && in.Now.After(in.Deadline) && d.Action() != TakeBack:
			t.Fatalf("%+v: %s after the deadline", in, d.Action())
		case d.Action() == TakeBack && d.Reason() == "":
			t.Fatalf("%+v: taken back without a reason", in)
		}
	}
}
