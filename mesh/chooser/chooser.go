package chooser

import (
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/target"
)

const (
	// warmupFactor multiplies the service time of an endpoint that is still warming up.
	warmupFactor = 1.7
	// meanAgeFactor turns the mean age of outstanding calls into a service time, once the age exceeds the expected
	// service time. A call in progress is on average half-way through.
	meanAgeFactor = 1.5
	// fullLoadPenalty is the fraction by which the service time grows when all slots are in use. It grows with the
	// square of the load, as some upstreams slow down before they are full.
	fullLoadPenalty = 0.35
	// failureCost is added at a failure rate of 1: about the time that a caller's retry takes.
	failureCost = 1500 * time.Millisecond
	// backoffCost is added for an endpoint that has just refused a call: others are preferred unless they are worse still.
	backoffCost = 250 * time.Millisecond
	// ejectedCost is large enough to put ejected endpoints behind all others.
	ejectedCost = time.Minute
	// jitterPerMille bounds the random addition to a score, so that nodes with the same data choose different endpoints.
	jitterPerMille = 60
	// minCapacity is the lower bound of the capacity of an endpoint with a low rate limit.
	minCapacity = 0.1
	// minMaxWait is the lower bound of Choice.MaxWait, so that a slot which is about to be released is used.
	minMaxWait = 10 * time.Millisecond
)

// tierCost is added for an endpoint of each tier, as a fraction of the rule's latency objective. Traffic between data
// centres and regions is paid for, so a call is sent there only if it would otherwise miss its objective. bulkCost is
// the same for bulk calls, which transfer a hundred times as many bytes.
var (
	tierCost = [...]float64{target.Local: 0, target.SameDataCentre: 0.002, target.SameRegion: 0.03, target.RemoteRegion: 0.3}
	bulkCost = [...]float64{target.Local: 0, target.SameDataCentre: 0.005, target.SameRegion: 0.3, target.RemoteRegion: 1.2}
)

// Input holds the candidates and the call properties that one choice depends on.
type Input struct {
	Targets             []*target.Target
	Exclude             []*target.Target // already tried by this request
	ExpectedServiceTime time.Duration    // expected service time of the rule's calls
	Objective           time.Duration    // latency objective of the rule
	Bulk                bool
	Even                bool // spread calls evenly, as load reports are old
	Now                 time.Time
	Random              func(int) int // Random(n) returns a number in [0, n)
}

// Choice is the endpoint for one attempt.
type Choice struct {
	target        *target.Target
	expectedWait  time.Duration
	maxWait       time.Duration
	noAlternative bool
	utilisation   float64
}

// Target returns the endpoint, or nil if there is none.
func (c Choice) Target() *target.Target { return c.target }

// ExpectedWait returns the expected wait for a slot.
func (c Choice) ExpectedWait() time.Duration { return c.expectedWait }

// MaxWait returns the wait for a slot beyond which the second-best endpoint would be better.
func (c Choice) MaxWait() time.Duration { return c.maxWait }

// NoAlternative reports that there is no second-best endpoint, so that MaxWait is not set.
func (c Choice) NoAlternative() bool { return c.noAlternative }

// Utilisation returns the estimated calls at the endpoint as a fraction of its slots.
func (c Choice) Utilisation() float64 { return c.utilisation }

// Choose returns the endpoint with the lowest score: the expected time until the answer, plus costs for the tier, for
// failures, for a recent refusal and for ejection. With Even it returns one of those with low scores.
func Choose(in Input) Choice {
	if in.Even {
		return defaultEvenSettings.choose(in)
	}
	var best, second *target.Target
	var bestScore, secondScore time.Duration
	var bestTerms Score
	utilisation := meanUtilisation(in)
	for _, t := range in.Targets {
		if excluded(t, in) {
			continue
		}
		terms := scoreTarget(t, in, utilisation)
		score := withJitter(terms.Total(), in)
		switch {
		case best == nil || score < bestScore:
			second, secondScore = best, bestScore
			best, bestScore, bestTerms = t, score, terms
		case second == nil || score < secondScore:
			second, secondScore = t, score
		}
	}
	c := Choice{target: best, expectedWait: bestTerms.Wait, noAlternative: second == nil, utilisation: bestTerms.Utilisation}
	if second != nil {
		c.maxWait = max(minMaxWait, secondScore-(bestScore-bestTerms.Wait))
	}
	return c
}

// meanUtilisation returns the fraction of slots that other nodes use, averaged over the endpoints with a recent load
// report. It is assumed for endpoints without one; otherwise a remote endpoint would look idle during an overload.
func meanUtilisation(in Input) float64 {
	var used, slots float64
	for _, t := range in.Targets {
		_, othersCalls, weight := t.Gauge().Load(in.Now)
		used += weight * othersCalls
		slots += weight * capacity(t.Endpoint(), serviceTime(t, in, t.Gauge().ServiceTimeRatio()))
	}
	if slots == 0 {
		return 0
	}
	return used / slots
}

// serviceTime returns the expected service time of the call at the endpoint with the service time ratio.
func serviceTime(t *target.Target, in Input, ratio float64) time.Duration {
	service := time.Duration(float64(in.ExpectedServiceTime) * ratio)
	if t.Endpoint().WarmupEnd().After(in.Now) {
		service = time.Duration(float64(service) * warmupFactor)
	}
	return service
}

// capacity returns how many calls the endpoint has in progress when its slots are in use or its rate limit is reached:
// by Little's law, the rate times the service time.
func capacity(e endpoint.Endpoint, service time.Duration) float64 {
	slots := float64(max(1, e.Slots()))
	if e.Limit() <= 0 {
		return slots
	}
	return min(slots, max(minCapacity, e.Limit()*service.Seconds()))
}

// scoreTarget returns the terms of the endpoint's score; utilisation is assumed where the load report is old or missing.
func scoreTarget(t *target.Target, in Input, utilisation float64) Score {
	service := serviceTime(t, in, t.Gauge().ServiceTimeRatio())
	slots := capacity(t.Endpoint(), service)
	own, othersCalls, weight := t.Gauge().Load(in.Now)
	return scoreLoad(t, in, service, slots, own+weight*othersCalls+(1-weight)*utilisation*slots, fullLoadPenalty)
}

// scoreLoad returns the terms of the score of an endpoint with the estimated load.
func scoreLoad(t *target.Target, in Input, service time.Duration, slots, load, penalty float64) Score {
	g := t.Gauge()
	if age := g.MeanAge(in.Now); age > service {
		service = time.Duration(float64(age) * meanAgeFactor)
	}
	fullness := min(1, load/slots)
	s := Score{Service: service, Load: time.Duration(float64(service) * penalty * fullness * fullness), Utilisation: load / slots}
	if over := load + 1 - slots; over > 0 {
		s.Wait = time.Duration(float64(service) * over / slots)
	}
	s.Failures = time.Duration(float64(failureCost) * g.FailureRate(in.Now))
	if g.InBackoff(in.Bulk, in.Now) {
		s.Backoff = backoffCost
	}
	if g.Ejected(in.Now) {
		s.Ejected = ejectedCost
	}
	fraction := tierCost[t.Tier()]
	if in.Bulk {
		fraction = bulkCost[t.Tier()]
	}
	s.Tier = time.Duration(fraction * float64(in.Objective))
	return s
}

// withJitter adds the random addition to a score.
func withJitter(score time.Duration, in Input) time.Duration {
	return score + score*time.Duration(in.Random(jitterPerMille))/1000
}
