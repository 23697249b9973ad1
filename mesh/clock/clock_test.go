package clock

import (
	"testing"
	"time"
)

// TestNowAdvances guards against a clock that stands still or counts in another unit.
func TestNowAdvances(t *testing.T) {
	const pause = 20 * time.Millisecond
	before := Clock{}.Now()
	time.Sleep(pause)
	if passed := (Clock{}.Now() - before); passed < pause {
		t.Errorf("%v passed during a pause of %v", passed, pause)
	}
}
