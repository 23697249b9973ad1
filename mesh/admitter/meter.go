package admitter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/route"
)

// meter records metrics of this node's calls in a go-metrics registry. Its own maps avoid that registry's lock on each
// call.
type meter struct {
	registry metrics.Registry
	calls    copyOnWriteMap[histogramKey, sample]
	refusals copyOnWriteMap[string, metrics.StandardCounter]
}

// histogramKey identifies the calls that share a histogram.
type histogramKey struct {
	tenant string
	class  route.Class
}

// recordLatency adds the latency of a call to the histogram "calls.<tenant>.<class>", in microseconds.
func (m *meter) recordLatency(p histogramKey, took time.Duration) {
	s := m.calls.get(p, func() *sample {
		tenant := p.tenant
		if tenant == "" {
			tenant = "default"
		}
		h := metrics.GetOrRegisterHistogram("calls."+tenant+"."+string(p.class), m.registry, &sample{})
		return h.Sample().(*sample)
	})
	s.Update(took.Microseconds())
}

// countRefusal adds a call to the counter "refusals.<reason>".
func (m *meter) countRefusal(reason string) {
	c := m.refusals.get(reason, func() *metrics.StandardCounter {
		return metrics.GetOrRegisterCounter("refusals."+reason, m.registry).(*metrics.StandardCounter)
	})
	c.Inc(1)
}
