package planner

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestWrite guards against a slope or an extrapolation that does not follow from the figures.
func TestWrite(t *testing.T) {
	results, err := os.ReadFile("testdata/results.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := WriteTables(&out, bytes.NewReader(results)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "tables", out.Bytes())
}

// TestCapacityPage guards against a capacity page that was not regenerated from the committed figures.
func TestCapacityPage(t *testing.T) {
	results, err := os.Open("../../docs/results.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer results.Close()
	var out bytes.Buffer
	if err := WriteTables(&out, results); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/capacity-figures.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(page), out.String()) {
		t.Error("docs/capacity-figures.md is not made from docs/results.jsonl; run make capacity")
	}
}
