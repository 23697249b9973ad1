package pacer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestIntendedTimes guards against a stall that shifts later intended times, which would hide it from the latencies.
func TestIntendedTimes(t *testing.T) {
	now := time.Unix(0, 0)
	p := &Pacer{
		Rate: 4, For: 2 * time.Second,
		Now:   func() time.Time { return now },
		Sleep: func(d time.Duration) { now = now.Add(d) },
	}
	var out strings.Builder
	p.Run(t.Context(), func(intended time.Time) {
		fmt.Fprintf(&out, "intended %s, started %s\n", intended.Sub(time.Unix(0, 0)), now.Sub(time.Unix(0, 0)))
		if intended.Equal(time.Unix(0, 0).Add(500 * time.Millisecond)) {
			now = now.Add(800 * time.Millisecond)
		}
	})
	goldie.New(t).Assert(t, "intended", []byte(out.String()))
}
