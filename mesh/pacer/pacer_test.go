package pacer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// TestRates guards against rates that are exceeded after a pause, at the start or when they change, and against requests
// that are refused below the rate. Requests come in each step at an even rate.
func TestRates(t *testing.T) {
	type step struct {
		limit, arrivals float64 // requests a second
		seconds         float64
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"no limit", []step{{0, 100, 4}}},
		{"below the limit", []step{{20, 19, 4}}},
		{"above the limit", []step{{20, 100, 4}}},
		{"after a pause", []step{{20, 0, 10}, {20, 100, 4}}},
		{"limit named, lowered and lifted", []step{{0, 100, 4}, {40, 100, 4}, {10, 100, 4}, {0, 100, 4}}},
		{"fractions", []step{{2.5, 100, 4}}},
		{"below the lowest rate", []step{{0.01, 100, 4}}},
		{"huge", []step{{1e300, 100, 4}}},
	}
	var out strings.Builder
	for _, c := range cases {
		now := time.Unix(1000, 0)
		p := New(now)
		fmt.Fprintf(&out, "%s:", c.name)
		for _, s := range c.steps {
			p.SetRate(s.limit, now)
			end := now.Add(time.Duration(s.seconds * float64(time.Second)))
			admitted := 0
			for s.arrivals > 0 && now.Before(end) {
				if p.Take(now) {
					admitted++
				}
				now = now.Add(time.Duration(float64(time.Second) / s.arrivals))
			}
			now = end
			fmt.Fprintf(&out, " %d", admitted)
		}
		fmt.Fprintf(&out, "; one more after two others in %v\n", p.Wait(2, now))
	}
	goldie.New(t).Assert(t, "rates", []byte(out.String()))
}

// TestAnyWindow guards against windows in which more requests are admitted than the rate and one burst allow, whatever
// the arrivals.
func TestAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		now := time.Unix(1000, 0)
		p := New(now)
		p.SetRate(rate, now)
		var admitted []time.Time
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 2000).Draw(t, "gaps in 0.1 ms") {
			if gap < 1990 { // most gaps are short, so that arrivals exceed the rate
				gap /= 50
			}
			now = now.Add(time.Duration(gap) * 100 * time.Microsecond)
			if p.Take(now) {
				admitted = append(admitted, now)
			}
		}
		first := 0
		for last, at := range admitted {
			for at.Sub(admitted[first]) >= window {
				first++
			}
			if n, most := last-first+1, rate*(window+burstTime).Seconds()+2; float64(n) > most {
				t.Fatalf("%d requests in %v, want at most %.0f", n, window, most)
			}
		}
	})
}
