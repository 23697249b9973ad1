package tracer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestSummaries guards against a summary that is based on the wrong log line. Each testdata/*.log holds the log lines of
// one request and its calls, each after its node's name, from a run with stuck, slow and leaving endpoints.
func TestSummaries(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		logs := map[string]string{}
		var id string
		for line := range strings.Lines(string(data)) {
			node, text, _ := strings.Cut(line, " ")
			logs[node] += text
			var e struct{ ID string }
			if err := json.Unmarshal([]byte(text), &e); err != nil {
				t.Fatalf("%s: %v", file, err)
			}
			id, _, _ = strings.Cut(e.ID, ".")
		}
		tracer := New(id)
		var nodes []string
		for node := range logs {
			nodes = append(nodes, node)
		}
		slices.Sort(nodes)
		for _, node := range nodes {
			if err := tracer.Read(node, strings.NewReader("not a log line\n"+logs[node])); err != nil {
				t.Fatal(err)
			}
		}
		out := strings.Join(tracer.Lines(), "\n") + "\n" + tracer.Summary() + "\n"
		goldie.New(t).Assert(t, strings.TrimSuffix(filepath.Base(file), ".log"), []byte(out))
	}
}

// TestSummaryWithoutLines guards against an invented cause for a request without log lines.
func TestSummaryWithoutLines(t *testing.T) {
	if got := New("x").Summary(); !strings.HasPrefix(got, "No line tells") {
		t.Errorf("a request without lines: %s", got)
	}
}
