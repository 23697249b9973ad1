package linker

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/call"
)

// TestLate guards against calls that run long after their callers have gone, when a lossy network delays them together
// with their cancel frames, and against deadlines that ignore the time in transit.
func TestLate(t *testing.T) {
	createdAt := time.Now().Add(-time.Minute)
	l := &link{createdAt: createdAt}
	sent := func(ago time.Duration) call.Call {
		return call.New(call.Fields{SentAt: (time.Since(createdAt) - ago).Milliseconds()})
	}
	// The first call sets the usual time in transit, whatever the difference of the clocks.
	if late := l.transitDelay(sent(40 * time.Millisecond)); late != 0 {
		t.Errorf("the first call is %v late", late)
	}
	if late := l.transitDelay(sent(45 * time.Millisecond)); late < 4*time.Millisecond || late > maxTransitDelay {
		t.Errorf("a usual call is %v late", late)
	}
	if late := l.transitDelay(sent(640 * time.Millisecond)); late <= maxTransitDelay {
		t.Errorf("a call that was delayed for 600 ms is only %v late", late)
	}
	// A quicker call lowers the usual time.
	l.transitDelay(sent(time.Millisecond))
	if late := l.transitDelay(sent(300 * time.Millisecond)); late <= maxTransitDelay {
		t.Errorf("a call that took 300 ms is only %v late", late)
	}
	if late := l.transitDelay(call.New(call.Fields{})); late != 0 {
		t.Errorf("a call without a time of sending is %v late", late)
	}
}
