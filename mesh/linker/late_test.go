package linker

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/call"
)

// TestLate guards against calls that run long after their callers have left, when a lossy way held them up together with
// the news of it, and against deadlines that do not count the time on the way.
func TestLate(t *testing.T) {
	begun := time.Now().Add(-time.Minute)
	l := &link{begun: begun}
	sent := func(ago time.Duration) call.Call {
		return call.New(call.Fields{SentAt: (time.Since(begun) - ago).Milliseconds()})
	}
	// The first call sets what is usual, whatever the difference of the clocks.
	if late := l.late(sent(40 * time.Millisecond)); late != 0 {
		t.Errorf("the first call is %v late", late)
	}
	if late := l.late(sent(45 * time.Millisecond)); late < 4*time.Millisecond || late > heldUp {
		t.Errorf("a usual call is %v late", late)
	}
	if late := l.late(sent(640 * time.Millisecond)); late <= heldUp {
		t.Errorf("a call that was held up for 600 ms is only %v late", late)
	}
	// A quicker call shows that the ones before were slow.
	l.late(sent(time.Millisecond))
	if late := l.late(sent(300 * time.Millisecond)); late <= heldUp {
		t.Errorf("a call that took 300 ms is only %v late", late)
	}
	if late := l.late(call.New(call.Fields{})); late != 0 {
		t.Errorf("a call of a node that does not say when it was sent is %v late", late)
	}
}
