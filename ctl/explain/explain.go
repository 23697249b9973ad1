package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"wisteriaspoke.example/ctl/core"
)

func init() {
	core.Register("explain", 50, "Tell which route a call would take on the node asked, and why.", func() any { return &Explain{} })
}

// Explain is the command "explain".
type Explain struct {
	Method string            `help:"Method of the call." default:"GET"`
	Host   string            `help:"Host of the call."`
	Path   string            `help:"Path of the call." default:"/"`
	Header map[string]string `help:"Header of the call." placeholder:"NAME=VALUE" mapsep:"none"`
}

// Run prints each value of the answer on a line and each list of objects as a table. Its fields are not fixed here: the
// node decides which ones it returns.
func (c *Explain) Run(s *core.Session) error {
	query := url.Values{"method": {c.Method}, "host": {c.Host}, "path": {c.Path}}
	for _, name := range slices.Sorted(maps.Keys(c.Header)) {
		query.Add("header", name+"="+c.Header[name])
	}
	var answer any
	raw, err := s.Get("/v1/explain", query, &answer)
	if err != nil {
		return err
	}
	return s.Print(raw, func(w io.Writer) {
		writeValues(w, "", answer)
		if fields, ok := answer.(map[string]any); ok {
			for _, key := range slices.Sorted(maps.Keys(fields)) {
				writeTable(w, key, fields[key])
			}
		}
	})
}

// writeTable writes a list of objects as a table with one row for each; it ignores other values.
func writeTable(w io.Writer, name string, value any) {
	rows, ok := value.([]any)
	if !ok || !allObjects(rows) {
		return
	}
	columns := slices.Sorted(maps.Keys(rows[0].(map[string]any)))
	fmt.Fprintf(w, "\n%s\n%s\n", strings.ToUpper(name), strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = fmt.Sprint(row.(map[string]any)[c])
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// allObjects reports whether the list is not empty and holds only JSON objects.
func allObjects(rows []any) bool {
	return len(rows) > 0 && !slices.ContainsFunc(rows, func(r any) bool {
		_, ok := r.(map[string]any)
		return !ok
	})
}

// writeValues writes each value on a line with its path; it skips lists of objects.
func writeValues(w io.Writer, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			writeValues(w, joinPath(name, key), v[key])
		}
	case []any:
		if allObjects(v) {
			return
		}
		for i, item := range v {
			writeValues(w, joinPath(name, fmt.Sprint(i)), item)
		}
	case string:
		fmt.Fprintf(w, "%s\t%s\n", name, v)
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = []byte(err.Error())
		}
		fmt.Fprintf(w, "%s\t%s\n", name, data)
	}
}

func joinPath(name, key string) string {
	if name == "" {
		return key
	}
	return name + "." + key
}
