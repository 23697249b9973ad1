package memorylimiter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestBodyBuffer guards against bodies and connections that fill a small host, and against a bound below the largest
// response.
func TestBodyBuffer(t *testing.T) {
	var out strings.Builder
	for _, memory := range []int64{-1, 0, 16, 72, 112, 134, 184, 284, 536, 4096} {
		m := &MemoryLimiter{Memory: memory}
		if err := m.Check(); err != nil {
			fmt.Fprintf(&out, "%4d MB: %v\n", memory, err)
			continue
		}
		m.Descriptors = 320
		both := m.MaxConnections()
		m.Descriptors = 0
		fmt.Fprintf(&out, "%4d MB: %.2f MB of bodies, %.2f MB of large ones, %d connections, with 320 descriptors %d, %d requests behind others\n",
			memory, float64(m.BodyBuffer())/megabyte, float64(m.largeBytes())/megabyte, m.MaxConnections(), both, m.MaxBehind())
	}
	goldie.New(t).Assert(t, "buffers", []byte(out.String()))
}
