package gossiper

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestRestartAfterClockPutBack guards against a node that its peers ignore since its clock was put back before it started
// again: its incarnation, which is the time of its start, is then below the last one. In the second case heartbeats of the
// process that has ended are still on their way through another node.
func TestRestartAfterClockPutBack(t *testing.T) {
	addresses := []string{"a1-x", "a1-y", "b1-x", "b1-y"}
	var out strings.Builder
	for _, down := range []time.Duration{time.Second, 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			for _, a := range addresses {
				n.start(a, addresses...)
			}
			n.nodes["a1-y"].AddRecords(configuration(4, 10))
			for _, a := range addresses {
				enrol(t, n.nodes[a], 1, false)
			}
			time.Sleep(5 * time.Second)
			n.kill("a1-x")
			time.Sleep(down)
			x := n.startWith("a1-x", func(x *node) { x.config.Incarnation -= uint64(time.Hour.Milliseconds()) }, addresses...)
			enrol(t, x, 1, false)
			for _, wait := range []time.Duration{time.Second, 20 * time.Second} {
				time.Sleep(wait)
				synctest.Wait()
				out.WriteString(n.describe("down for " + down.String() + ", and " + wait.String() + " later"))
			}
			for a := range n.nodes {
				n.kill(a)
			}
		})
	}
	goldie.New(t).Assert(t, "clock", []byte(out.String()))
}
