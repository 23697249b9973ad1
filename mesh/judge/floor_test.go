package judge

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/outcome"
)

// TestSlownessFloor guards against a good version that is taken back because calls of less than a millisecond take a few
// on a busy host, and against a floor that hides a version that callers notice.
func TestSlownessFloor(t *testing.T) {
	in := func(bucket int, calls, others uint64) outcome.Outcome {
		var latency [outcome.Buckets]uint64
		latency[0], latency[bucket] = calls-others, others
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
			j.Add(now, []StratumOutcomes{{Route: "read", New: in(c.bucket, 50, 15), Old: in(c.bucket, 500, 5)}})
		}
		if got := j.Result().Finding(); got != c.want {
			t.Errorf("30%% of calls in bucket %d: %s, want %s: %s", c.bucket, got, c.want, j.Result().Message())
		}
	}
}
