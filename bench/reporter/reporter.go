package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"
)

// Emit records one figure: value is the system's, baseline that of the naive version named by against in the same run,
// bound the stated target, and better is "lower" or "higher".
type Emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

type figure struct {
	Name         string  `json:"name"`
	Value        float64 `json:"value"`
	Unit         string  `json:"unit"`
	Baseline     float64 `json:"baseline"`
	BaselineName string  `json:"against"`
	Size         int     `json:"size"`
	Seed         uint64  `json:"seed"`
	Bound        float64 `json:"bound"`
	Better       string  `json:"better"`
}

type registration struct {
	name     string
	priority int
	measure  func(Emit)
}

var registry []registration

// Register adds a measurement; measurements run in ascending priority.
//
// It panics if the name is already taken.
func Register(name string, priority int, measure func(Emit)) {
	if slices.Contains(Names(), name) {
		panic(fmt.Sprintf("reporter: %q is registered twice", name))
	}
	registry = append(registry, registration{name: name, priority: priority, measure: measure})
	slices.SortStableFunc(registry, func(a, b registration) int { return a.priority - b.priority })
}

// Names returns the registered names in the order in which they run.
func Names() []string {
	names := make([]string, 0, len(registry))
	for _, r := range registry {
		names = append(names, r.name)
	}
	return names
}

// identifier converts a name to lower-case words joined by underscores.
func identifier(name string) string {
	return strings.Join(strings.FieldsFunc(strings.ToLower(name), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	}), "_")
}

// Run prints the figures of the named measurements, or of all if only is empty, and returns the first write error.
func Run(w io.Writer, only []string) error {
	encoder := json.NewEncoder(w)
	var firstErr error
	for _, r := range registry {
		if len(only) > 0 && !slices.Contains(only, r.name) {
			continue
		}
		r.measure(func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string) {
			f := figure{Name: identifier(name), Value: value, Unit: unit, Baseline: baseline, BaselineName: against, Size: size, Seed: seed, Bound: bound, Better: better}
			if err := encoder.Encode(f); err != nil && firstErr == nil {
				firstErr = err
			}
		})
	}
	return firstErr
}
