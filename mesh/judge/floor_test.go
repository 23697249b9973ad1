package judge

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/outcome"
)

// TestSlownessFloor guards against a rollback of a good version because its calls of less than a millisecond take a few
// milliseconds on a busy host, and against a maxFastBucket so high that noticeable slowness is not found.
func TestSlownessFloor(t *testing.T) {
	outcomeOf := func(bucket int, calls, slow uint64) outcome.Outcome {
		var latency [outcome.Buckets]uint64
		latency[0], latency[bucket] = calls-slow, slow
		return outcome.New(outcome.Key{Service: "ergebnis", Route: "read"}, calls, 0, 0, 0, latency)
	}
	for _, c := range []struct {
		bucket int
		want   Finding
	}{
		{3, Good},
		{4, Bad},
	} {
		j := New("v1", "v2")
		now := epoch
		for range 60 {
			now = now.Add(time.Second)
			j.Add(now, []StratumOutcomes{{Route: "read", New: outcomeOf(c.bucket, 50, 15), Old: outcomeOf(c.bucket, 500, 5)}})
		}
		if got := j.Result().Finding(); got != c.want {
			t.Errorf("30%% of calls in bucket %d: %s, want %s: %s", c.bucket, got, c.want, j.Result().Message())
		}
	}
}
