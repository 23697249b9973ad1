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

// Run shows the answer with one line for each value, as its fields are up to the node.
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
		flatten(w, "", answer)
		if top, ok := answer.(map[string]any); ok {
			for _, key := range slices.Sorted(maps.Keys(top)) {
				table(w, key, top[key])
			}
		}
	})
}

// table writes a list of objects with one row for each.
func table(w io.Writer, name string, value any) {
	rows, ok := value.([]any)
	if !ok || !objects(rows) {
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

func objects(rows []any) bool {
	return len(rows) > 0 && !slices.ContainsFunc(rows, func(r any) bool {
		_, ok := r.(map[string]any)
		return !ok
	})
}

func flatten(w io.Writer, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			flatten(w, join(name, key), v[key])
		}
	case []any:
		if objects(v) {
			return
		}
		for i, item := range v {
			flatten(w, join(name, fmt.Sprint(i)), item)
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

func join(name, key string) string {
	if name == "" {
		return key
	}
	return name + "." + key
}
