package suspecter_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/suspecter"
)

// row is a numbered case; each endpoint is written as the milliseconds since its last heartbeat, followed by letters:
// u for a closed link, p for a failed probe, l for leaving.
type row struct {
	Number    int      `json:"number"`
	Name      string   `json:"name"`
	Endpoints []string `json:"endpoints"`
	Recent    int      `json:"recent"`
}

func evidenceOf(t *testing.T, i int, text string) suspecter.Evidence {
	t.Helper()
	digits := strings.TrimRight(text, "upl")
	var ms int
	if _, err := fmt.Sscan(digits, &ms); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	marks := text[len(digits):]
	return suspecter.NewEvidence(fmt.Sprintf("e%d", i), time.Duration(ms)*time.Millisecond).
		WithUnlinked(strings.Contains(marks, "u")).
		WithProbeFailed(strings.Contains(marks, "p")).
		WithLeaving(strings.Contains(marks, "l"))
}

// TestEvaluateAll guards against a change of the rule that decides which endpoints are suspect or dropped.
func TestEvaluateAll(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows []row
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
	words := map[suspecter.Verdict]string{suspecter.Live: "live", suspecter.Suspect: "suspect", suspecter.Drop: "drop"}
	var out strings.Builder
	for _, r := range rows {
		var evidence []suspecter.Evidence
		for i, text := range r.Endpoints {
			evidence = append(evidence, evidenceOf(t, i, text))
		}
		verdicts := suspecter.EvaluateAll(evidence, r.Recent)
		fmt.Fprintf(&out, "%d %s:", r.Number, r.Name)
		for i, e := range evidence {
			fmt.Fprintf(&out, " %s=%s", r.Endpoints[i], words[verdicts[e.Address()]])
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "verdicts", []byte(out.String()))
}

// TestMaxUnavailable guards against more suspect and dropped endpoints than allowed, with random evidence.
func TestMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "endpoints")
		recent := rapid.IntRange(0, 10).Draw(t, "recent")
		var evidence []suspecter.Evidence
		leaving := map[string]bool{}
		for i := range n {
			e := suspecter.NewEvidence(fmt.Sprintf("e%d", i), time.Duration(rapid.IntRange(0, 9000).Draw(t, "since"))*time.Millisecond).
				WithUnlinked(rapid.Bool().Draw(t, "unlinked")).WithProbeFailed(rapid.Bool().Draw(t, "failed"))
			leaves := rapid.Bool().Draw(t, "leaving")
			leaving[e.Address()] = leaves
			evidence = append(evidence, e.WithLeaving(leaves))
		}
		lost, staying := recent, recent
		verdicts := suspecter.EvaluateAll(evidence, recent)
		for a, leaves := range leaving {
			if leaves {
				continue
			}
			staying++
			if verdicts[a] != suspecter.Live {
				lost++
			}
		}
		if lost > recent && lost > suspecter.MaxUnavailable(staying) {
			t.Errorf("%d of %d are lost", lost, staying)
		}
	})
}
