package admitter

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
)

// TestTally guards against outcomes that are counted wrongly and so are false evidence about a version.
func TestTally(t *testing.T) {
	p := publisher.New(snapshot.Location{DataCentre: "obb-a", Region: "obb"})
	p.Publish(configuration(t, 1, share.Share{}))
	p.Publish(endpoints(1, "127.0.0.1:7001"))
	m := p.Snapshot().Pool("meldung").Stable().Members()[0]
	var y tally
	for _, c := range []struct {
		ran    answer.Ran
		status int
		reason string
		took   time.Duration
	}{
		{answer.Yes, 200, "", 999 * time.Microsecond},
		{answer.Yes, 404, "", time.Millisecond},
		{answer.Yes, 500, "", 3 * time.Millisecond},
		{answer.Maybe, 504, "timeout", time.Hour},
		{answer.Maybe, 502, "crashed", 0},
		{answer.No, 503, "full", 0},
		{answer.No, 503, "late", 0},
		{answer.No, 503, "leaving", 0},
		{answer.No, 503, "down", 0},
	} {
		y.add(m, "all", answer.New(answer.Fields{Ran: c.ran, Status: c.status, Reason: c.reason}), c.took)
	}
	os := y.drain()
	if len(os) != 1 {
		t.Fatalf("%d outcomes", len(os))
	}
	o := os[0]
	if o.Calls() != 5 || o.Failures() != 3 || o.Crashes() != 1 || o.Shed() != 2 {
		t.Errorf("%d calls, %d failures, %d crashes, %d shed", o.Calls(), o.Failures(), o.Crashes(), o.Shed())
	}
	if l := o.LatencyHistogram(); l[0] != 2 || l[1] != 1 || l[2] != 1 || l[15] != 1 {
		t.Errorf("latencies are %v", l)
	}
	if os := y.drain(); len(os) != 0 {
		t.Errorf("%d outcomes are counted twice", len(os))
	}
}
