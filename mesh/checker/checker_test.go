package checker

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/preset"
)

// render returns the errors, one per line, or the digests and definitions of the preset.
func render(p preset.Preset, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "valid: %s\n", p.Name())
	for _, name := range slices.Sorted(maps.Keys(p.DefinitionDigests())) {
		digest := p.DefinitionDigests()[name]
		fmt.Fprintf(&b, "%s %s %s\n", name, digest, p.EncodedDefinitions()[digest])
	}
	return b.String()
}

// Guards against an invalid preset that is accepted, and against an error without its position, field or remedy.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no cases", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, []byte(render(New().Check(data))))
		})
	}
}

// Guards against accepting a preset that is too large for the store or the nodes.
func TestLimits(t *testing.T) {
	data, err := os.ReadFile("testdata/17-valid.json")
	if err != nil {
		t.Fatal(err)
	}
	base := New()
	cases := []struct {
		name    string
		checker Checker
	}{
		{"services", Checker{1, base.MaxRoutes, base.MaxDefinitionBytes, base.MaxManifestBytes}},
		{"routes", Checker{base.MaxServices, 1, base.MaxDefinitionBytes, base.MaxManifestBytes}},
		{"definition", Checker{base.MaxServices, base.MaxRoutes, 100, base.MaxManifestBytes}},
		{"manifest", Checker{base.MaxServices, base.MaxRoutes, base.MaxDefinitionBytes, 20}},
		{"all", Checker{base.MaxServices, base.MaxRoutes, 20, 20}},
	}
	var b strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&b, "%s: %s", c.name, render(c.checker.Check(data)))
	}
	goldie.New(t).Assert(t, "limits", []byte(b.String()))
}

// Guards against an answer of several megabytes for an invalid file with many services.
func TestManyProblems(t *testing.T) {
	data := `{"name": "day", "services": [` + strings.Repeat(`{"name": "A", "version": "1"},`, 130)
	_, err := New().Check([]byte(strings.TrimSuffix(data, ",") + "]}"))
	lines := strings.Split(fmt.Sprint(err), "\n")
	if len(lines) != maxProblems+1 || !strings.HasPrefix(lines[maxProblems], "there are 30 more errors") {
		t.Errorf("got %d lines, the last %q", len(lines), lines[len(lines)-1])
	}
}

// Guards against invalid example files, which operators copy.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.json")
	if err != nil || len(files) != 3 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		p, err := New().Check(data)
		if err != nil {
			t.Errorf("%s:\n%v", f, err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(f), ".json"); p.Name() != want {
			t.Errorf("%s is named %q", f, p.Name())
		}
		checkCriticalRoutes(t, p)
	}
}

// checkCriticalRoutes fails if the route of a write that must not run twice is idempotent, and so would be retried, or
// is not of class high, and so would be shed early.
func checkCriticalRoutes(t *testing.T, p preset.Preset) {
	t.Helper()
	words := []string{"confirmation", "upload", "booking", "payment"}
	for _, s := range p.Services() {
		for _, r := range s.Routes() {
			named := slices.ContainsFunc(words, func(w string) bool { return strings.Contains(r.Name(), w) })
			if named && (r.Class() != "high" || r.Idempotent("POST") || r.Idempotent("PUT")) {
				t.Errorf("%s: route %s of %s is not of class high and not idempotent", p.Name(), r.Name(), s.Name())
			}
		}
	}
}

// FuzzCheck guards against a panic on any input, and against an error without the kind Invalid or without a remedy.
func FuzzCheck(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.json")
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := New().Check(data)
		if err != nil {
			if e := (*fault.Error)(nil); !errors.As(err, &e) || e.Kind() != fault.Invalid || e.Remedy() == "" {
				t.Fatalf("error without kind or remedy: %v", err)
			}
			return
		}
		if len(p.DefinitionDigests()) != len(p.Services()) || len(p.Services()) == 0 {
			t.Fatalf("accepted %d services as %d parts", len(p.Services()), len(p.DefinitionDigests()))
		}
	})
}
