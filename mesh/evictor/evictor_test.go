package evictor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestChoice guards against closing the connection of a caller that reads as fast as its link allows, and against memory
// and descriptors that stay with callers that do not read.
func TestChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	const second, megabyte = time.Second, 1 << 20
	var out strings.Builder
	for _, c := range []struct {
		name        string
		connections []Connection
	}{
		{"none", nil},
		{"only requests that run", []Connection{Busy(), Busy()}},
		{"a fast reader of a large answer", []Connection{Busy(), Reading(ago(4*second), 7*megabyte)}},
		{"a fast reader, one that does not read", []Connection{Reading(ago(4*second), 7*megabyte), Reading(ago(second), 0)}},
		{"a trickle for long, one that stopped after a megabyte", []Connection{Reading(ago(10*second), 200<<10), Reading(ago(3*second), megabyte)}},
		{"two that do not read", []Connection{Reading(ago(second), 0), Reading(ago(2*second), 0)}},
		{"answers that have just begun", []Connection{Reading(ago(100*time.Millisecond), 0), Reading(now, 0)}},
		{"idle and running", []Connection{Busy(), Idle(ago(second)), Idle(ago(5 * second))}},
		{"idle, one that does not read", []Connection{Idle(ago(50 * second)), Reading(ago(second), 0)}},
	} {
		fmt.Fprintf(&out, "%s: for memory %d, for descriptors %d\n", c.name, SlowestReader(now, c.connections), Dispensable(now, c.connections))
	}
	goldie.New(t).Assert(t, "choice", []byte(out.String()))
}
