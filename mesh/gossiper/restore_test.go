package gossiper

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/record"
)

// TestRestoredStore guards against CONFIG after a restore of the store from an older copy: nodes that go back to an older
// configuration, that do not pass a newer one to a node that restarts, that disagree on the content of a version, or that
// keep an order although the store has another one at the same or a lower revision.
func TestRestoredStore(t *testing.T) {
	type read struct {
		node     string
		rs       []record.Record
		restarts bool // right before it reads
	}
	const era = 1 << 40
	config := func(node, spec string, position uint64) read {
		return read{node: node, rs: []record.Record{{Kind: record.Configuration, Name: "main", Revision: position, Spec: []byte(spec)}}}
	}
	ordered := func(node, spec string, position uint64) read {
		return read{node: node, rs: []record.Record{{Kind: record.Orders, Name: "s", Revision: position, Spec: []byte(spec)}}}
	}
	restart := func(r read) read {
		r.restarts = true
		return r
	}
	cases := []struct {
		name  string
		reads []read // of the store, in order
	}{
		{"the store shows an older version", []read{config("a1-x", "7", 11), config("a1-x", "4", era+10), config("b1-x", "4", era+10)}},
		{"restarts after the restore", []read{config("a1-x", "7", 11), config("a1-x", "4", era+10), restart(config("b1-x", "4", era+10))}},
		{"the lost version is written again", []read{config("a1-x", "7", 11), config("a1-x", "4", era+10), config("a1-x", "7", era+12), config("b1-x", "8", era+13)}},
		{"two restores in a row", []read{config("a1-x", "7", 11), config("b1-x", "4", 2*era+10), config("a1-x", "6", era+11), config("a1-x", "8", 2*era+11)}},
		{"a version with other content, known at different times", []read{
			config("a1-x", "7", 11), config("b1-x", "07", era+11), restart(config("a1-y", "07", era+11)), config("a1-x", "7", 11), config("a1-x", "007", era+9)}},
		{"a configuration that cannot be decoded", []read{config("a1-x", "7", 11), config("a1-x", "x", era+12), restart(config("b1-x", "x", era+12))}},
		{"orders at the same revision", []read{ordered("a1-x", "v2", 412), ordered("a1-x", "v3", era+412)}},
		{"orders, nodes learn of the era at different times", []read{
			ordered("a1-x", "v2", 412), ordered("b1-x", "v3", era+380), ordered("a1-x", "v4", 413), restart(ordered("a1-y", "v5", 414))}},
		{"orders, two restores in a row", []read{ordered("a1-x", "v2", 412), ordered("b1-x", "v3", 2*era+300), ordered("a1-x", "v4", era+400)}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			addresses := []string{"a1-x", "a1-y", "b1-x"}
			for _, a := range addresses {
				n.start(a, addresses...)
			}
			time.Sleep(time.Second)
			fmt.Fprintf(&out, "%s\n", c.name)
			for _, r := range c.reads {
				if r.restarts {
					n.kill(r.node)
					n.start(r.node, addresses...)
				}
				n.nodes[r.node].AddRecords(slices.Clone(r.rs))
				fmt.Fprintf(&out, "  %s reads %s at %d in era %d, restarted %v:", r.node, r.rs[0].Spec, r.rs[0].Revision%era, r.rs[0].Revision/era, r.restarts)
				time.Sleep(time.Second)
				synctest.Wait()
				for _, a := range addresses {
					g := n.nodes[a]
					version, spec := uint64(0), []byte("-")
					if p := g.View().Plan(); p != nil {
						version = p.Version()
						if spec, _ = decompress(g.records.configuration().Spec); len(spec) == 0 {
							t.Errorf("%s has version %d in force, but no record of it", a, version)
						}
					}
					fmt.Fprintf(&out, " %s has %d (%s) order %q,", a, version, spec, g.records.byKey[recordKey{record.Orders, "s"}].Spec)
				}
				out.WriteString("\n")
			}
			for a := range n.nodes {
				n.kill(a)
			}
		})
	}
	goldie.New(t).Assert(t, "restored", []byte(out.String()))
}
