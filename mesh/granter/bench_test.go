package granter

import (
	"fmt"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

// BenchmarkHandle measures one report with the needs of six tenants at the owner of 21 tenants on 83 nodes.
func BenchmarkHandle(b *testing.B) {
	g := New(bounds, 1)
	var ls []quota.Limit
	for i := 0; len(ls) < 21; i++ {
		name := fmt.Sprint(i)
		if _, n := quota.Identify(name); n == part {
			ls = append(ls, quota.Limit{Name: name, Rate: 100, Burst: 100})
		}
	}
	now := hour
	g.SetLimits(ls, now)
	echoes := make([]uint64, 83)
	stamp := uint64(0)
	for b.Loop() {
		for i := range echoes {
			stamp++
			now += 6 * time.Millisecond
			r := &quota.Report{Shard: part, Incarnation: 1, Stamp: stamp, OwnerIncarnation: 1, Echo: echoes[i], Lent: 83}
			for j := range 6 {
				id, _ := quota.Identify(ls[(i+j)%21].Name)
				r.Needs = append(r.Needs, quota.Need{ID: id, Want: 3, Rate: 2000})
			}
			echoes[i] = g.Handle(fmt.Sprint(i), r, now).Stamp
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/83, "ns/report")
}
