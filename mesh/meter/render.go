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

// prefix keeps the project's metrics apart from those of other programs.
const prefix = "wisteriaspoke_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// family is the samples of one Prometheus metric.
type family struct {
	kind  string
	lines []string
}

// families collects samples by the metric's name.
type families map[string]*family

// render returns the registry in the Prometheus text form, ordered by name.
func render(r metrics.Registry) string {
	registered := map[string]any{}
	r.Each(func(name string, metric any) { registered[name] = metric })
	fs := families{}
	// The order decides which type keeps a name that two types share, so it must not change between requests.
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		fs.collect(name, registered[name])
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fs)) {
		f := fs[name]
		// Lines of one series stay together, since its labels come first.
		slices.Sort(f.lines)
		fmt.Fprintf(&out, "# TYPE %s %s\n", name, f.kind)
		for _, line := range f.lines {
			out.WriteString(line)
			out.WriteByte('\n')
		}
	}
	return out.String()
}

func (fs families) collect(registered string, metric any) {
	name, labels := split(registered)
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

// summary adds quantiles in units of the given size; it has no sum, because a histogram keeps a sample of its values.
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
	// Two types cannot share a name in the text form.
	if f.kind != kind {
		fs.add(name+"_"+kind, kind, suffix, labels, value)
		return
	}
	if labels != "" {
		labels = "{" + labels + "}"
	}
	f.lines = append(f.lines, name+suffix+labels+" "+strconv.FormatFloat(value, 'g', -1, 64))
}

// split turns "calls.tenant.class" into a name with labels, and any other registered name into a plain one.
func split(registered string) (name, labels string) {
	parts := strings.Split(registered, ".")
	if len(parts) != 3 {
		return prefix + plain(registered), ""
	}
	return prefix + plain(parts[0]), fmt.Sprintf(`tenant="%s",class="%s"`, escape(parts[1]), escape(parts[2]))
}

// plain replaces what the text form does not allow in a name.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, s)
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(s string) string { return escaper.Replace(s) }
