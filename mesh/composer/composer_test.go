package composer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/target"
)

// TestExcludedVersionsGetNoCalls guards against calls to versions that the split of a service excludes.
func TestExcludedVersionsGetNoCalls(t *testing.T) {
	cases := []struct {
		name     string
		versions []string // one for each endpoint; a trailing - marks an endpoint that is leaving
		split    Split
	}{
		{"no move", []string{"v1", "v1"}, Split{}},
		{"new endpoints before the order", []string{"v1", "v1", "v2"}, Split{}},
		{"running", []string{"v1", "v1", "v2"}, Split{Candidate: "v2", Permille: 60}},
		{"running, candidate share 0", []string{"v1", "v2"}, Split{Candidate: "v2"}},
		{"running, no stable endpoint", []string{"v2"}, Split{Candidate: "v2", Permille: 60}},
		{"running, no stable endpoint, share 0", []string{"v2"}, Split{Candidate: "v2"}},
		{"completed", []string{"v1", "v2"}, Split{OnlyVersion: "v2"}},
		{"taken back", []string{"v1", "v2", "v2"}, Split{ExcludedVersions: []string{"v2"}}},
		{
			"next move beside a bad version", []string{"v1", "v2", "v3"},
			Split{ExcludedVersions: []string{"v2"}, Candidate: "v3", Permille: 250},
		},
		{"leaving", []string{"v1", "v1-"}, Split{}},
	}
	var out strings.Builder
	for _, c := range cases {
		var ts []*target.Target
		for _, v := range c.versions {
			f := endpoint.Fields{Service: "s", Version: strings.TrimSuffix(v, "-"), State: endpoint.Ready}
			if f.Version != v {
				f.State = endpoint.Leaving
			}
			ts = append(ts, target.New(endpoint.New(f), gauge.New(time.Time{}), "", "", ""))
		}
		p := Compose(Input{Targets: ts, Split: func(string) Split { return c.split }}).Pool("s")
		picked := map[string]bool{}
		for i := range 1000 {
			for _, x := range p.PickVersion(func(int) int { return i }) {
				picked[x.Endpoint().Version()] = true
			}
		}
		var names []string
		for v := range picked {
			names = append(names, v)
		}
		slices.Sort(names)
		fmt.Fprintf(&out, "%-42s stable %d, candidate %d at %4d, calls go to %v\n",
			c.name, len(p.Stable), len(p.Candidate), p.Permille, names)
	}
	goldie.New(t).Assert(t, "versions", []byte(out.String()))
}
