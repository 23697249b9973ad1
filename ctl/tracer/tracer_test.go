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

// TestCauses guards against a request that is explained by the wrong line. Each testdata/*.log has the lines of one request
// and its calls from a day with stuck, slow and leaving endpoints, with the node's name before each.
func TestCauses(t *testing.T) {
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
		r := New(id)
		var nodes []string
		for node := range logs {
			nodes = append(nodes, node)
		}
		slices.Sort(nodes)
		for _, node := range nodes {
			if err := r.Read(node, strings.NewReader("not a log line\n"+logs[node])); err != nil {
				t.Fatal(err)
			}
		}
		out := strings.Join(r.Lines(), "\n") + "\n" + r.Sentence() + "\n"
		goldie.New(t).Assert(t, strings.TrimSuffix(filepath.Base(file), ".log"), []byte(out))
	}
}

// TestUnknown guards against a request without lines that is explained all the same.
func TestUnknown(t *testing.T) {
	if got := New("x").Sentence(); !strings.HasPrefix(got, "No line tells") {
		t.Errorf("a request without lines: %s", got)
	}
}
