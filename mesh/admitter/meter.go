package admitter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/route"
)

// meter holds the figures of this node's calls for operators, in a go-metrics registry. Its own maps spare calls the
// lock of that registry.
type meter struct {
	registry metrics.Registry
	calls    registry[population, sample]
	refusals registry[string, metrics.StandardCounter]
}

// population is the calls that share a histogram.
type population struct {
	tenant string
	class  route.Class
}

// ended adds the latency of a call to the histogram "calls.<tenant>.<class>", in microseconds.
func (m *meter) ended(p population, took time.Duration) {
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

// refused adds a call to the counter "refusals.<reason>".
func (m *meter) refused(reason string) {
	c := m.refusals.get(reason, func() *metrics.StandardCounter {
		return metrics.GetOrRegisterCounter("refusals."+reason, m.registry).(*metrics.StandardCounter)
	})
	c.Inc(1)
}
