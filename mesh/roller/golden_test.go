package roller

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// assertGolden compares got with testdata/<name>.golden; go test -update rewrites the file.
func assertGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldie.New(t).Assert(t, name, got)
}
