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

var asked = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A case is a file of lines:
//
//	ask deadline <duration> settle <duration> rate <calls a second>
//	ready <duration>                the new version has an endpoint from then on
//	evidence <duration>             the evidence at each share is good after that time
//	doubt from <duration> to <duration>   and not good in between
//	suspect from <duration> to <duration> an alarm waits for old calls in between
//	frozen from <duration> to <duration>  no decision is carried out in between, as when the store is out
//	play <duration>                 carries the decisions out, one each second
//
// TestTraces guards against steps without evidence, steps that come too late for the deadline, warnings that come too
// late to act on, and against another sentence for operators.
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
			assertGolden(t, name, trace(t, string(data)))
		})
	}
}

type span struct{ from, to time.Duration }

func (s span) holds(d time.Duration) bool { return d >= s.from && d < s.to }

type player struct {
	fields        Input
	ready         time.Duration
	evidence      time.Duration
	doubt, frozen span
	suspect       span
	out           bytes.Buffer
	last          string
}

func trace(t *testing.T, data string) []byte {
	p := &player{fields: Input{Version: "v2", ShareSetAt: asked, Finding: judge.Undecided}}
	for line := range strings.Lines(data) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			p.line(t, line)
		}
	}
	return p.out.Bytes()
}

func (p *player) line(t *testing.T, line string) {
	words := strings.Fields(line)
	switch words[0] {
	case "ask":
		p.fields.Deadline = asked.Add(duration(t, words[2]))
		p.fields.Settle = duration(t, words[4])
		if _, err := fmt.Sscan(words[6], &p.fields.CallRate); err != nil {
			t.Fatal(err)
		}
	case "ready":
		p.ready = duration(t, words[1])
	case "evidence":
		p.evidence = duration(t, words[1])
	case "doubt":
		p.doubt = span{duration(t, words[2]), duration(t, words[4])}
	case "suspect":
		p.suspect = span{duration(t, words[2]), duration(t, words[4])}
	case "frozen":
		p.frozen = span{duration(t, words[2]), duration(t, words[4])}
	case "play":
		p.play(duration(t, words[1]))
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

func (p *player) play(limit time.Duration) {
	for at := time.Duration(0); at <= limit; at += time.Second {
		if p.frozen.holds(at) {
			continue
		}
		if p.decide(at) {
			return
		}
	}
}

// decide carries one decision out and reports whether the rollout has ended.
func (p *player) decide(at time.Duration) bool {
	f := &p.fields
	f.Now = asked.Add(at)
	f.HasReadyEndpoint = at >= p.ready
	f.Finding, f.CallsNeeded = judge.Undecided, judge.EstimateCallsNeeded(max(f.Share, 1))
	if f.Share > 0 && f.Now.Sub(f.ShareSetAt) >= p.evidence && !p.doubt.holds(at) {
		f.Finding, f.CallsNeeded = judge.Good, 0
	}
	if p.suspect.holds(at) {
		f.Finding = judge.Suspect
	}
	d := Plan(*f)
	if line := fmt.Sprintf("%s %d late=%v finding=%s", d.Action(), d.Share(), d.DeadlineAtRisk(), f.Finding); line != p.last {
		p.last = line
		fmt.Fprintf(&p.out, "%s at %d: %s; %s; next: %s\n", at, f.Share, line, d.Reason(), d.NextStep())
	}
	if d.Action() == Widen || d.Action() == Narrow {
		f.Share, f.ShareSetAt = d.Share(), f.Now
	}
	return d.Action() == Finish || d.Action() == TakeBack
}

// Guards against rules that a plan must keep whatever its input: no step without good evidence, no share above the
// first one before any evidence, no step that skips one, nothing but a rollback after the latest moment.
func TestKeepsRules(t *testing.T) {
	for seed := range uint64(20000) {
		f := drawFields(seed)
		d := Plan(f)
		evidence := f.Finding == judge.Good
		switch {
		case d.Action() == Widen && f.Share > 0 && !evidence:
			t.Fatalf("%+v: widened without evidence", f)
		case d.Action() == Widen && f.Share == 0 && (d.Share() > 50 || !f.HasReadyEndpoint):
			t.Fatalf("%+v: started at %d", f, d.Share())
		case d.Action() == Widen && d.Share() <= f.Share:
			t.Fatalf("%+v: widened to %d", f, d.Share())
		case d.Action() == Finish && (f.Share < share.FullPermille || !evidence || f.Now.Before(f.ShareSetAt.Add(f.Settle))):
			t.Fatalf("%+v: finished", f)
		case f.Share < share.FullPermille && f.Now.After(f.Deadline) && d.Action() != TakeBack:
			t.Fatalf("%+v: %s after the deadline", f, d.Action())
		case d.Action() == TakeBack && d.Reason() == "":
			t.Fatalf("%+v: taken back without a reason", f)
		}
	}
}
