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

// TestReadWhenBehind guards against a node that waits for the reads of others although these have a version that it was not
// told of.
func TestReadWhenBehind(t *testing.T) {
	const apply = 2500 * time.Millisecond
	now := time.Hour
	d := newDistributor("a9", "a", 1, newSchedule(0, apply), func() time.Duration { return now })
	d.random, d.nodes = func() float64 { return 0 }, newSimulation(t.Fatalf, names...).host("a0").candidates
	d.keep(proof{moment: now, version: 4})
	var out strings.Builder
	for elapsed := time.Duration(0); elapsed <= apply; elapsed += tickInterval {
		if elapsed == 300*time.Millisecond {
			d.keep(proof{moment: now, version: 5})
			fmt.Fprintf(&out, "%v: a proof names version 5\n", elapsed)
		}
		if d.tick(4, true) {
			fmt.Fprintf(&out, "%v: the store is read\n", elapsed)
			break
		}
		now += tickInterval
	}
	goldie.New(t).Assert(t, "behind", []byte(out.String()))
}
