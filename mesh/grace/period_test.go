package grace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestPhases guards against LOST: calls that a stopping node cuts off before the last sixth of the grace period, or so close to
// its begin that the answer of an upstream that has ended before it is lost on its way, and a process that is killed as its
// graceful shutdown ends too late. The times reserved before were fixed and fitted one length of the period.
func TestPhases(t *testing.T) {
	var out strings.Builder
	for _, length := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := New(length)
		lastSixth := length * 5 / 6
		if p.Calls() < lastSixth+length/30 || p.Drain() < p.Calls()+length/30 || p.Drain() > length-length/15 {
			t.Errorf("a grace period of %v, whose last sixth begins at %v, cuts calls off at %v and ends at %v", length, lastSixth, p.Calls(), p.Drain())
		}
		fmt.Fprintf(&out, "%-5v calls %-8v drain %-8v accept %-8v leave %v\n", length, p.Calls(), p.Drain(), p.Shorten(2300*time.Millisecond, 0.5), p.Shorten(1400*time.Millisecond, 0.3))
	}
	fmt.Fprintf(&out, "for a drain of 10s: calls %v, drain %v\n", ForDrain(10*time.Second).Calls().Round(time.Millisecond), ForDrain(10*time.Second).Drain().Round(time.Millisecond))
	fmt.Fprintf(&out, "unknown: calls %v, accept %v\n", New(0).Calls(), New(0).Shorten(time.Second, 0.5))
	goldie.New(t).Assert(t, "phases", []byte(out.String()))
}
