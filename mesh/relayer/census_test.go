package relayer

import (
	"encoding/json"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/report"
)

// countedOnNewest returns how many nodes the data centre's report counts on the newest version.
func (f *fleet) countedOnNewest(dc string) int {
	f.t.Helper()
	var p report.Report
	if err := json.Unmarshal(f.sim.Store().Object(report.Plural, dc).Spec(), &p); err != nil {
		f.t.Fatal(err)
	}
	return p.NodesByVersion()[f.head.Version()]
}

// TestReportCountsBothRelays guards against a report that does not count the second relay of the data centre.
func TestReportCountsBothRelays(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.accept(nil)
		f.converge(2 * time.Second)
		f.sim.Run(5 * time.Second)
		for _, dc := range f.centres() {
			if got := f.countedOnNewest(dc); got != 3 {
				t.Errorf("the report of %s counts %d nodes on version %d, want 3", dc, got, f.head.Version())
			}
		}
	})
}
