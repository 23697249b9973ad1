package meter

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// prefix distinguishes the project's metrics from those of other programs.
const prefix = "wisteriaspoke_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// family holds the type and the samples of one Prometheus metric.
type family struct {
	kind    string
	samples []string
}

// families maps metric names to their families.
type families map[string]*family

// render returns the registry in the Prometheus text format, ordered by name.
func render(r metrics.Registry) string {
	registered := map[string]any{}
	r.Each(func(name string, metric any) { registered[name] = metric })
	fs := families{}
	// Of two metrics with one name and different types the first keeps the name, so the order must not change between
	// requests.
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		fs.collect(name, registered[name])
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fs)) {
		f := fs[name]
		// Sorting keeps the samples of one series together, since its labels come first.
		slices.Sort(f.samples)
		fmt.Fprintf(&out, "# TYPE %s %s\n", name, f.kind)
		for _, line := range f.samples {
			out.WriteString(line)
			out.WriteByte('\n')
		}
	}
	return out.String()
}

func (fs families) collect(registered string, metric any) {
	name, labels := splitName(registered)
	switch m := metric.(type) {
	case metrics.Counter:
		fs.add(name, "counter", "", labels, float64(m.Count()))
	case metrics.Gauge:
		fs.add(name, "gauge", "", labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		fs.add(name, "gauge", "", labels, m.Value())
	case metrics.Meter:
		s := m.Snapshot()
		fs.add(name, "counter", "", labels, float64(s.Count()))
		fs.add(name+"_rate", "gauge", "", labels, s.Rate1())
	case metrics.Histogram:
		s := m.Snapshot()
		fs.summary(name, labels, s.Percentiles(quantiles), s.Count(), 1)
	case metrics.Timer:
		fs.summary(name+"_seconds", labels, m.Percentiles(quantiles), m.Count(), float64(time.Second))
	}
}

// summary adds the quantiles, divided by unit, and the count; there is no sum, as a histogram keeps only some values.
func (fs families) summary(name, labels string, values []float64, count int64, unit float64) {
	for i, q := range quantiles {
		label := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
		if labels != "" {
			label = labels + "," + label
		}
		fs.add(name, "summary", "", label, values[i]/unit)
	}
	fs.add(name, "summary", "_count", labels, float64(count))
}

func (fs families) add(name, kind, suffix, labels string, value float64) {
	f, ok := fs[name]
	if !ok {
		f = &family{kind: kind}
		fs[name] = f
	}
	// The text format allows only one type per name.
	if f.kind != kind {
		fs.add(name+"_"+kind, kind, suffix, labels, value)
		return
	}
	if labels != "" {
		labels = "{" + labels + "}"
	}
	f.samples = append(f.samples, name+suffix+labels+" "+strconv.FormatFloat(value, 'g', -1, 64))
}

// splitName returns the metric's name and labels: "name.tenant.class" has labels, any other registered name has none.
func splitName(registered string) (name, labels string) {
	parts := strings.Split(registered, ".")
	if len(parts) != 3 {
		return prefix + sanitiseName(registered), ""
	}
	return prefix + sanitiseName(parts[0]), fmt.Sprintf(`tenant="%s",class="%s"`, escapeLabel(parts[1]), escapeLabel(parts[2]))
}

// sanitiseName replaces characters that the text format does not allow in a name.
func sanitiseName(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, s)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabel(s string) string { return labelEscaper.Replace(s) }
