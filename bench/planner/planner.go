package planner

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Size  int     `json:"size"`
}

// WriteTables reads figures as JSON lines and writes a table for each role; errors are those of reading and writing.
func WriteTables(w io.Writer, results io.Reader) error {
	figures, err := readFigures(results)
	if err != nil {
		return err
	}
	role := ""
	for _, r := range tableRows {
		if r.role != role {
			role = r.role
			_, err = fmt.Fprintf(w, "\n## %s\n\n| figure | measured (size: worst) | slope | at the target | bound | carried by |\n| --- | --- | --- | --- | --- | --- |\n", role)
			if err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w, formatRow(r, highestBySize(figures, r.figure))); err != nil {
			return err
		}
	}
	return nil
}

func readFigures(r io.Reader) ([]figure, error) {
	var figures []figure
	s := bufio.NewScanner(r)
	for s.Scan() {
		var f figure
		if err := json.Unmarshal(s.Bytes(), &f); err != nil {
			return nil, fmt.Errorf("results: %w in %q; write them with make bench", err, s.Text())
		}
		figures = append(figures, f)
	}
	return figures, s.Err()
}

// suffixes lists the suffixes that measurements append to a figure's name, besides "_median_seed".
var suffixes = []string{"", "_worst_seed", "_one_seed", "_24_000_changes_a_day_one_seed"}

// highestBySize returns the highest value of a figure over all seeds, by size.
func highestBySize(figures []figure, prefix string) map[int]float64 {
	values := map[int]float64{}
	for _, f := range figures {
		suffix, ok := strings.CutPrefix(f.Name, prefix)
		if !ok || !slices.Contains(suffixes, suffix) {
			continue
		}
		if old, ok := values[f.Size]; !ok || f.Value > old {
			values[f.Size] = f.Value
		}
	}
	return values
}

func formatRow(r tableRow, values map[int]float64) string {
	if len(values) == 0 {
		return fmt.Sprintf("| %s | not measured | | | %s | %s |", r.title, formatNumber(r.bound), r.mechanism)
	}
	sizes := slices.Sorted(maps.Keys(values))
	var measured []string
	for _, s := range sizes {
		if r.axis == measuredOnce {
			measured = append(measured, formatNumber(values[s]))
			continue
		}
		measured = append(measured, fmt.Sprintf("%d: %s", s, formatNumber(values[s])))
	}
	if r.axis == measuredOnce {
		last := values[sizes[len(sizes)-1]]
		return fmt.Sprintf("| %s | %s | | %s | %s | %s |", r.title, strings.Join(measured, ", "), emphasise(last, r.bound), formatNumber(r.bound), r.mechanism)
	}
	slope, intercept := fit(r, values)
	value, ok := values[targetNodes]
	source := "measured"
	if !ok {
		value, source = intercept+slope*r.axis.at(targetNodes), "extrapolated"
		if last := sizes[len(sizes)-1]; slope <= 0 {
			// A figure that falls with the size is not extrapolated below the last measured value.
			value, source = values[last], fmt.Sprintf("as at %d", last)
		}
	}
	unit := "a node"
	if r.axis == perDataCentre {
		unit = "a node of the data centre"
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s, %s | %s | %s |", r.title, strings.Join(measured, ", "), formatNumber(slope), unit,
		emphasise(value, r.bound), source, formatNumber(r.bound), r.mechanism)
}

// fit returns the least-squares line through the values.
func fit(r tableRow, values map[int]float64) (slope, intercept float64) {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for size, y := range values {
		x := r.axis.at(size)
		n++
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

func emphasise(value, bound float64) string {
	if bound > 0 && value > bound {
		return "**" + formatNumber(value) + "**"
	}
	return formatNumber(value)
}

func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "-"
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1 || v <= -1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
