package judge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/outcome"
)

// logBinomial returns the logarithm of the probability of k hits in n draws.
func logBinomial(k, n int, p float64) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	hits, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - hits - rest + float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p)
}

// exactJudge is a simple reference implementation for the failures of one stratum: it keeps all windows and sums the
// exact likelihoods from every possible start.
type exactJudge struct {
	llrs []float64
}

func (p *exactJudge) add(newCalls, newHits, oldCalls, oldHits int) {
	if newCalls == 0 || oldCalls == 0 {
		p.llrs = append(p.llrs, 0)
		return
	}
	equal := float64(newCalls) / float64(newCalls+oldCalls)
	worse := badFailureRatio * float64(newCalls) / float64(badFailureRatio*newCalls+oldCalls)
	llr := logBinomial(newHits, newHits+oldHits, worse) - logBinomial(newHits, newHits+oldHits, equal)
	// The tolerated failures are added to the old version's.
	llr += toleratedFailureRate * float64(oldCalls) * (math.Log(1-worse) - math.Log(1-equal))
	p.llrs = append(p.llrs, llr)
}

// cusum returns the largest sum that ends with the latest window, at least zero.
func (p *exactJudge) cusum() float64 {
	largest := 0.0
	for start := range p.llrs {
		sum := 0.0
		for _, r := range p.llrs[start:] {
			sum += r
		}
		largest = max(largest, sum)
	}
	return largest
}

func drawHits(r *rand.Rand, n int, p float64) int {
	hits := 0
	for range n {
		if r.Float64() < p {
			hits++
		}
	}
	return hits
}

func stratumOutcomes(newCalls, newHits, oldCalls, oldHits int) StratumOutcomes {
	fast := func(calls, hits int) outcome.Outcome {
		var latency [outcome.Buckets]uint64
		latency[4] = uint64(calls)
		return outcome.New(outcome.Key{Route: "read", Region: "obb"}, uint64(calls), uint64(hits), 0, 0, latency)
	}
	return StratumOutcomes{
		Route: "read", EndpointRegion: "obb", CallerRegion: "obb",
		New: fast(newCalls, newHits), Old: fast(oldCalls, oldHits),
	}
}

// Guards against an error in the incremental sums: they must equal the exact likelihoods summed from the start.
func TestAgreesWithExactCalculation(t *testing.T) {
	findings := map[Finding]int{}
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		j, p := New("v1", "v2"), &exactJudge{}
		oldRate := 0.02 * r.Float64()
		newRate := oldRate + 0.15*r.Float64()*float64(seed%2)
		for w := range 80 {
			n, o := r.IntN(20), r.IntN(200)
			nh, oh := drawHits(r, n, newRate), drawHits(r, o, oldRate)
			j.Add(epoch.Add(time.Duration(w)*time.Second), []StratumOutcomes{stratumOutcomes(n, nh, o, oh)})
			p.add(n, nh, o, oh)
			exact := p.cusum()
			if got := j.allRoutes.failures.cusum; math.Abs(got-exact) > 1e-9*(1+exact) {
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
		t.Errorf("too few findings of each kind for a meaningful comparison: %v", findings)
	}
}

// Guards against findings that are wrong more often than the stated probability, at the failure rates where errors are
// most likely.
func TestErrorRates(t *testing.T) {
	const runs = 500
	for _, c := range []struct {
		name             string
		oldRate, newRate float64
		windows          int
		wrong            Finding
	}{
		{"good at the tolerated rate", 0.01, 0.01 + toleratedFailureRate, 600, Bad},
		{"good beside a faultless one", 0, toleratedFailureRate, 200, Bad},
		{"equal in trouble", 0.2, 0.2, 200, Bad},
		{"bad at the least ratio", 0.01, badFailureRatio * (0.01 + toleratedFailureRate), 60, Good},
		{"bad beside a faultless one", 0, badFailureRatio * toleratedFailureRate, 60, Good},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wrong := 0
			for run := range uint64(runs) {
				r := rand.New(rand.NewPCG(run, 11))
				j := New("v1", "v2")
				for w := range c.windows {
					n, o := 10, 190
					j.Add(epoch.Add(time.Duration(w)*time.Second), []StratumOutcomes{
						stratumOutcomes(n, drawHits(r, n, c.newRate), o, drawHits(r, o, c.oldRate)),
					})
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
