package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"wisteriaspoke.example/ctl/client"
	"wisteriaspoke.example/ctl/core"
	"wisteriaspoke.example/mesh/fault"
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

	Request []string `arg:"" optional:"" help:"NODE METHOD HOST PATH: ask the node at this admin address where the request would go now."`
	Tenant  string   `help:"Name of the tenant whose request NODE explains." placeholder:"NAME"`
	KeyHash string   `help:"First 16 bytes of the SHA-256 of a key, hexadecimal, whose tenant NODE names." placeholder:"HEX"`
	JSON    bool     `name:"json" help:"Print the answer of NODE as JSON, like --output json."`
}

// requestWords is the number of words of Request.
const requestWords = 4

// Run prints each value of the answer on a line and each list of objects as a table. Its fields are not fixed here: the
// node decides which ones it returns.
func (c *Explain) Run(s *core.Session) error {
	if len(c.Request) > 0 || c.Tenant != "" || c.KeyHash != "" || c.JSON {
		return c.explainRequest(s)
	}
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

// explainRequest asks a node at its admin address about Request.
func (c *Explain) explainRequest(s *core.Session) error {
	if len(c.Request) != requestWords {
		return fault.New(fault.Invalid, "not all of NODE METHOD HOST PATH are named", "name them in this order, for example 127.0.0.1:9100 GET a.example /")
	}
	query := url.Values{"method": {c.Request[1]}, "host": {c.Request[2]}, "path": {c.Request[3]}}
	if c.Tenant != "" {
		query.Set("tenant", c.Tenant)
	}
	if c.KeyHash != "" {
		query.Set("keyhash", c.KeyHash)
	}
	node := *s
	// The admin address takes no token.
	node.Client = &client.Client{Servers: c.Request[:1], Timeout: s.Client.Timeout}
	node.JSON = s.JSON || c.JSON
	var answer request
	raw, err := node.Get("/explain", query, &answer)
	if err != nil {
		return err
	}
	return node.Print(raw, answer.writeText)
}
