package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChoose measures a choice among 50 endpoints, which each request and each of its retries makes.
func BenchmarkChoose(b *testing.B) {
	for _, even := range []bool{false, true} {
		b.Run(fmt.Sprintf("even=%v", even), func(b *testing.B) {
			in := Input{ExpectedServiceTime: 200 * time.Millisecond, Objective: objective, Now: now, Random: rand.IntN, Even: even}
			for i := range 50 {
				f := fixture{name: fmt.Sprintf("%c%d-%d", 'a'+i%3, i%2, i), otherCalls: i % 9, serviceTimeRatio: 1.5}.target()
				f.Gauge().UpdateSteadyRatio(now)
				in.Targets = append(in.Targets, f)
			}
			b.ReportAllocs()
			for b.Loop() {
				Choose(in)
			}
		})
	}
}
