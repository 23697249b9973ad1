package judge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/outcome"
)

// logBinomial returns the logarithm of the chance of k hits in n draws.
func logBinomial(k, n int, p float64) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	hits, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - hits - rest + float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p)
}

// plain is the judge of one stratum's failures in its simplest form: it keeps all windows and sums the exact
// likelihoods again from every possible start.
type plain struct {
	ratios []float64
}

func (p *plain) add(newCalls, newHits, oldCalls, oldHits int) {
	if newCalls == 0 || oldCalls == 0 {
		p.ratios = append(p.ratios, 0)
		return
	}
	equal := float64(newCalls) / float64(newCalls+oldCalls)
	worse := failureRatio * float64(newCalls) / float64(failureRatio*newCalls+oldCalls)
	llr := logBinomial(newHits, newHits+oldHits, worse) - logBinomial(newHits, newHits+oldHits, equal)
	// The tolerated failures are added to the old version's.
	llr += toleratedFailures * float64(oldCalls) * (math.Log(1-worse) - math.Log(1-equal))
	p.ratios = append(p.ratios, llr)
}

// alarm returns the largest sum that ends now, at least zero.
func (p *plain) alarm() float64 {
	highest := 0.0
	for start := range p.ratios {
		sum := 0.0
		for _, r := range p.ratios[start:] {
			sum += r
		}
		highest = max(highest, sum)
	}
	return highest
}

func draw(r *rand.Rand, n int, p float64) int {
	hits := 0
	for range n {
		if r.Float64() < p {
			hits++
		}
	}
	return hits
}

func cellOf(newCalls, newHits, oldCalls, oldHits int) StratumOutcomes {
	fast := func(calls, hits int) outcome.Outcome {
		var latency [outcome.Buckets]uint64
		latency[4] = uint64(calls)
		return outcome.New(outcome.Key{Route: "read", Region: "obb"}, uint64(calls), uint64(hits), 0, 0, latency)
	}
	return StratumOutcomes{Route: "read", EndpointRegion: "obb", CallerRegion: "obb", New: fast(newCalls, newHits), Old: fast(oldCalls, oldHits)}
}

// Guards against an error in the running sums: they must equal the exact likelihoods summed from scratch.
func TestAgreesWithExactCalculation(t *testing.T) {
	findings := map[Finding]int{}
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		j, p := New("v1", "v2"), &plain{}
		oldRate := 0.02 * r.Float64()
		newRate := oldRate + 0.15*r.Float64()*float64(seed%2)
		for w := range 80 {
			n, o := r.IntN(20), r.IntN(200)
			nh, oh := draw(r, n, newRate), draw(r, o, oldRate)
			j.Add(epoch.Add(time.Duration(w)*time.Second), []StratumOutcomes{cellOf(n, nh, o, oh)})
			p.add(n, nh, o, oh)
			exact := p.alarm()
			if got := j.all.failures.alarm; math.Abs(got-exact) > 1e-9*(1+exact) {
				t.Fatalf("seed %d, window %d: alarm %v, exactly %v", seed, w, got, exact)
			}
			if bad := j.Result().Finding() == Bad; bad != (exact >= j.badLimit()) {
				t.Fatalf("seed %d, window %d: bad is %v at %v of %v", seed, w, bad, exact, j.badLimit())
			}
			findings[j.Result().Finding()]++
			if j.Result().Finding() == Bad {
				break
			}
		}
	}
	if findings[Bad] < 10 || findings[Undecided] < 100 {
		t.Errorf("too few findings of a kind for the comparison to mean anything: %v", findings)
	}
}

// Guards against findings more often wrong than stated, at the rates where each is most often wrong.
func TestErrorRates(t *testing.T) {
	const runs = 500
	for _, c := range []struct {
		name             string
		oldRate, newRate float64
		windows          int
		wrong            Finding
	}{
		{"good at the tolerated rate", 0.01, 0.01 + toleratedFailures, 600, Bad},
		{"good beside a faultless one", 0, toleratedFailures, 200, Bad},
		{"equal in trouble", 0.2, 0.2, 200, Bad},
		{"bad at the least ratio", 0.01, failureRatio * (0.01 + toleratedFailures), 60, Good},
		{"bad beside a faultless one", 0, failureRatio * toleratedFailures, 60, Good},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wrong := 0
			for run := range uint64(runs) {
				r := rand.New(rand.NewPCG(run, 11))
				j := New("v1", "v2")
				for w := range c.windows {
					n, o := 10, 190
					j.Add(epoch.Add(time.Duration(w)*time.Second), []StratumOutcomes{cellOf(n, draw(r, n, c.newRate), o, draw(r, o, c.oldRate))})
					if f := j.Result().Finding(); f == c.wrong || f == Bad {
						if f == c.wrong {
							wrong++
						}
						break
					}
				}
			}
			// The stated rate is 1%; three standard deviations of 500 runs at that rate are 1.3%.
			if rate := float64(wrong) / (runs); rate > 0.01+0.013 {
				t.Errorf("wrong in %.1f%% of runs", 100*rate)
			} else {
				t.Logf("wrong in %.1f%% of runs", 100*rate)
			}
		})
	}
}
