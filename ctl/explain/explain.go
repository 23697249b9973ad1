package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"

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
	return s.Print(raw, func(w io.Writer) { flatten(w, "", answer) })
}

func flatten(w io.Writer, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			flatten(w, join(name, key), v[key])
		}
	case []any:
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
