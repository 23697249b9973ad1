package revalidator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestSchedule guards against nodes that read the store too late for one of two bounds, and against reads in calm where a bound
// is shorter than the watches.
func TestSchedule(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ revoke, apply time.Duration }{
		{5 * time.Second, 0}, {0, 2500 * time.Millisecond}, {5 * time.Second, 2500 * time.Millisecond}, {2 * time.Second, 9 * time.Second}, {0, 9 * time.Second}, {0, time.Second},
	} {
		fmt.Fprintf(&out, "revoke %v, apply %v: %+v\n", c.revoke, c.apply, newSchedule(c.revoke, c.apply))
	}
	goldie.New(t).Assert(t, "schedule", []byte(out.String()))
}
