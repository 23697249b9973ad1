package scheduler

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// assertGolden compares got with testdata/<name>.golden, the layout that goldie also uses.
func assertGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v; run the test with -update", err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the golden file; got:\n%s\nwant:\n%s", name, got, want)
	}
}
