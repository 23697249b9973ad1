package publisher

import (
	"testing"

	"wisteriaspoke.example/mesh/share"
)

// TestSubscription guards against a demanded service that calls do not see until the next version, because it comes
// with the version in force.
func TestSubscription(t *testing.T) {
	p := newPublisher()
	p.Publish(configuration(t, 5, share.Share{}, "meldung"))
	p.Publish(configuration(t, 5, share.Share{}, "meldung", "ergebnis"))
	if s := p.Snapshot(); s.Version() != 5 || s.Pool("ergebnis") == nil {
		t.Error("the demanded service is not in the snapshot")
	}
}
