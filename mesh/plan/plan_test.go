package plan

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/rule"
)

// TestMatchPicksLongestPrefix guards against requests that are routed by the wrong rule.
func TestMatchPicksLongestPrefix(t *testing.T) {
	var rules []*rule.Rule
	for i, r := range [][2]string{{"h", "/"}, {"h", "/a/"}, {"h", "/a/b/"}, {"other", "/a/"}, {"bare", "/x/y/"}} {
		rules = append(rules, rule.New(rule.Fields{Name: fmt.Sprintf("%d:%s%s", i, r[0], r[1]), Host: r[0], Prefix: r[1]}))
	}
	p := New(1, Limits{}, []string{"s"}, rules)
	var out strings.Builder
	for _, c := range [][2]string{
		{"h", "/"}, {"h", "/a"}, {"h", "/a/"}, {"h", "/a/x"}, {"h", "/a/b/c/d"}, {"h", "/a/bc"}, {"H", "/a/x"},
		{"h:80", "/a/x?q=/a/b/c"},
		{"other", "/a/x"}, {"other", "/b"}, {"none", "/a/"}, {"bare", "/x/"}, {"bare", "/x/y/z"}, {"h", ""}, {"h", "*"},
	} {
		name := "none"
		if r := p.Match(c[0], c[1]); r != nil {
			name = r.Name()
		}
		fmt.Fprintf(&out, "%-6s %-15s %s\n", c[0], c[1], name)
	}
	goldie.New(t).Assert(t, "match", []byte(out.String()))
}
