package router

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/service"
)

// TestMatches guards against a less specific route being selected, and a prefix matching within a segment.
func TestMatches(t *testing.T) {
	data, err := os.ReadFile("testdata/matches.json")
	if err != nil {
		t.Fatal(err)
	}
	var in struct {
		Services []service.Service
		Cases    []struct {
			Method, Host, Path string
			Headers            map[string]string
		}
	}
	if err := json.Unmarshal(data, &in); err != nil {
		t.Fatal(err)
	}
	services := map[string]service.Service{}
	for _, s := range in.Services {
		services[s.Name()] = s
	}
	table := New(services)
	var out strings.Builder
	for i, c := range in.Cases {
		r, s, ok := table.Match(c.Host, c.Path, c.Method, func(name string) string { return c.Headers[name] })
		fmt.Fprintf(&out, "%2d %s %s%s %v: %v %s/%s\n", i+1, c.Method, c.Host, c.Path, c.Headers, ok, s.Name(), r.Name())
	}
	goldie.New(t).Assert(t, "matches", []byte(out.String()))
	if _, _, ok := New(nil).Match("swim.example", "/", "GET", nil); ok {
		t.Error("a table without services matches")
	}
}

// services returns a number of services with three routes each.
func services(tb testing.TB, n int) map[string]service.Service {
	all := map[string]service.Service{}
	for i := range n {
		var s service.Service
		text := fmt.Sprintf(`{"name":"s%d","version":"v1","routes":[{"name":"a","host":"s%d.example","path":"/"},
			{"name":"b","host":"s%d.example","path":"/a/b","methods":["POST"]},{"name":"c","host":"s%d.example","path":"/a/b/c"}]}`, i, i, i, i)
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			tb.Fatal(err)
		}
		all[s.Name()] = s
	}
	return all
}

// TestMatchAllocates guards against allocations by each call.
func TestMatchAllocates(t *testing.T) {
	table := New(services(t, 3))
	header := func(string) string { return "" }
	if n := testing.AllocsPerRun(100, func() { table.Match("S1.example:80", "/a/b/d?x=1", "GET", header) }); n != 0 {
		t.Errorf("Match allocates %v times", n)
	}
}

// BenchmarkMatch runs with the number of services of today and of the target, which have 18 and 8,600 endpoints.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{3, 480} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			table := New(services(b, n))
			header := func(string) string { return "" }
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := table.Match("s1.example:80", "/a/b/d?x=1", "GET", header); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}
