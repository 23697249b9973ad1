package clockrelater

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConvertIsLowerBound guards against a moment that looks later than it was on another node's clock, whatever the delays
// of the stamps, the times without any, the restarts of the node and the drift of the clocks.
func TestConvertIsLowerBound(t *testing.T) {
	const drift = 0.0005 // by which the other clock is slower
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		theirs := func(at time.Duration) time.Duration { return offset + at - time.Duration(drift*float64(at)) }
		var now time.Duration
		incarnation := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				incarnation++
				offset = time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "new offset"))
			}
			if rapid.Bool().Draw(t, "stamped") {
				delay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay"))
				c.Observe("b", incarnation, theirs(now-delay), now)
			}
			moment := now - time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "age"))
			got, of, ok := c.Convert("b", moment, now)
			limit := theirs(moment) + time.Duration(drift*float64(2*Period+10*time.Second))
			if ok && of == incarnation && got > limit {
				t.Fatalf("at %v, moment %v became %v on a clock that showed %v", now, moment, got, theirs(moment))
			}
		}
	})
}

// TestStampsCount guards against a relation that stays poor after one delayed stamp, one that is kept after its node's
// restart, and one that lasts without stamps.
func TestStampsCount(t *testing.T) {
	c := New()
	convert := func(now time.Duration) time.Duration {
		theirs, _, ok := c.Convert("b", now, now)
		if !ok {
			return -1
		}
		return theirs
	}
	for _, s := range []struct {
		name        string
		incarnation uint64
		stamp, now  time.Duration // in seconds
		want        time.Duration // the other clock's time at now, or -1
	}{
		{"delayed by 3 s", 1, 107, 10, 107},
		{"not delayed", 1, 120, 20, 120}, // the stamp and the moment are of one time
		{"delayed again", 1, 125, 30, 130},
		{"restarted", 2, 7, 31, 7},
		{"a period later, delayed by 1 s", 2, 41, 66, 42},
	} {
		c.Observe("b", s.incarnation, s.stamp*time.Second, s.now*time.Second)
		if got := convert(s.now * time.Second); got != s.want*time.Second {
			t.Errorf("%s: %v, want %v s", s.name, got, s.want)
		}
	}
	if got := convert(66*time.Second + 2*Period); got != -1 {
		t.Errorf("without stamps for two periods: %v", got)
	}
}
