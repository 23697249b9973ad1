package publisher

import (
	"testing"

	"wisteriaspoke.example/mesh/share"
)

// TestSubscription guards against a newly subscribed service that is missing from the snapshot until the next version,
// because it is published with the version that is already in force.
func TestSubscription(t *testing.T) {
	p := newPublisher()
	p.Publish(configuration(t, 5, share.Share{}, "meldung"))
	p.Publish(configuration(t, 5, share.Share{}, "meldung", "ergebnis"))
	if s := p.Snapshot(); s.Version() != 5 || s.Pool("ergebnis") == nil {
		t.Error("the newly subscribed service is not in the snapshot")
	}
}
