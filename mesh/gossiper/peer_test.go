package gossiper

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
)

// TestGaugeLifetime guards against DRAIN: a node that forgets that an upstream leaves when the upstream's node starts
// again and announces it as ready, and against one that remembers it for the upstream's next process.
func TestGaugeLifetime(t *testing.T) {
	p := &peer{}
	update := func(incarnation, sequence, start uint64) {
		e := endpoint.New(endpoint.Fields{Address: "n", Service: "s", State: endpoint.Ready, Instance: "i1", Incarnation: start})
		p.updateStatus(&status{Incarnation: incarnation, Sequence: sequence, Endpoint: &e}, time.Unix(1000, 0))
	}
	update(1, 1, 7)
	p.gauge.MarkLeaving()
	update(1, 2, 7)
	update(2, 1, 7)
	if !p.gauge.Leaving() {
		t.Error("the upstream gets calls again after a restart of its node")
	}
	update(2, 2, 8)
	if p.gauge.Leaving() {
		t.Error("the next process of the upstream gets no calls")
	}
}
