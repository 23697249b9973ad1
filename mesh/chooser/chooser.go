package chooser

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/target"
)

const (
	// coldFactor is how much longer a fresh upstream takes.
	coldFactor = 1.7
	// slowFactor scales the age of outstanding calls that already exceeds the usual time: on average a call is seen
	// half-way.
	slowFactor = 1.5
	// crowding is the part of the service time that a full endpoint adds; some slow down before they are full.
	crowding = 0.35
	// failureCost is what a certain failure costs, as a wait: about a caller's retry.
	failureCost = 1500 * time.Millisecond
	// heldCost keeps calls from an endpoint that has just refused one, unless all others are worse.
	heldCost = 250 * time.Millisecond
	// ejectedCost orders ejected endpoints behind all others.
	ejectedCost = time.Minute
	// jitter is the random part of a score, in thousandths, so that nodes with the same view spread.
	jitter = 60
	// leastPatience is the shortest wait for a slot, so that a slot which is just being given back is used.
	leastPatience = 10 * time.Millisecond
)

// distance is what a call to each tier must save in waiting time to be sent there, as a part of the rule's latency
// objective: volume between data centres and regions is paid for, so calls leave only when they would be late else.
// Bulky calls move a hundred times the volume.
var (
	distance = [...]float64{target.Local: 0, target.SameDataCentre: 0.002, target.SameRegion: 0.03, target.RemoteRegion: 0.3}
	bulky    = [...]float64{target.Local: 0, target.SameDataCentre: 0.005, target.SameRegion: 0.3, target.RemoteRegion: 1.2}
)

// Input is what one choice depends on.
type Input struct {
	Targets             []*target.Target
	Exclude             []*target.Target // already tried
	ExpectedServiceTime time.Duration    // usual time of the rule's calls in the upstream
	Objective           time.Duration    // latency objective of the rule
	Bulk                bool
	Now                 time.Time
	Random              func(int) int // returns a number in [0, n)
}

// Choice is the endpoint for one attempt.
type Choice struct {
	target   *target.Target
	wait     time.Duration
	patience time.Duration
	only     bool
}

// Target returns the endpoint, or nil if there is none.
func (c Choice) Target() *target.Target { return c.target }

// ExpectedWait returns the expected wait for a slot.
func (c Choice) ExpectedWait() time.Duration { return c.wait }

// MaxWait returns how long waiting for a slot there is better than the second choice.
func (c Choice) MaxWait() time.Duration { return c.patience }

// NoAlternative reports that there is no second choice, so that the patience has no bound of its own.
func (c Choice) NoAlternative() bool { return c.only }

// Choose returns the endpoint with the lowest expected time until the answer, with the costs of distance, of likely
// failures and of recent refusals added.
func Choose(q Input) Choice {
	var best, second *target.Target
	var low, next, queue time.Duration
	usual := utilisation(q)
	for _, t := range q.Targets {
		if slices.Contains(q.Exclude, t) {
			continue
		}
		score, wait := weigh(t, q, usual)
		switch {
		case best == nil || score < low:
			second, next = best, low
			best, low, queue = t, score, wait
		case second == nil || score < next:
			second, next = t, score
		}
	}
	c := Choice{target: best, wait: queue, only: second == nil}
	if second != nil {
		c.patience = max(leastPatience, next-(low-queue))
	}
	return c
}

// utilisation returns the part of the slots that other nodes use, on average over the endpoints that have reported
// lately. It stands in for endpoints that have not: a far one would seem idle in a crowd else.
func utilisation(q Input) float64 {
	var used, known float64
	for _, t := range q.Targets {
		_, others, weight := t.Gauge().Load(q.Now)
		used += weight * others
		known += weight * float64(max(1, t.Endpoint().Slots()))
	}
	if known == 0 {
		return 0
	}
	return used / known
}

// weigh returns the score and the part of it that is the expected wait for a slot.
func weigh(t *target.Target, q Input, usual float64) (score, wait time.Duration) {
	g, e := t.Gauge(), t.Endpoint()
	service := time.Duration(float64(q.ExpectedServiceTime) * g.ServiceTimeRatio())
	if e.WarmupEnd().After(q.Now) {
		service = time.Duration(float64(service) * coldFactor)
	}
	if age := g.MeanAge(q.Now); age > service {
		service = time.Duration(float64(age) * slowFactor)
	}
	slots := float64(max(1, e.Slots()))
	own, others, weight := g.Load(q.Now)
	load := own + weight*others + (1-weight)*usual*slots
	full := min(1, load/slots)
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(float64(service) * over / slots)
	}
	score = service + wait + time.Duration(float64(service)*crowding*full*full)
	score += time.Duration(float64(failureCost) * g.FailureRate(q.Now))
	if g.InBackoff(q.Now) {
		score += heldCost
	}
	if g.Ejected(q.Now) {
		score += ejectedCost
	}
	part := distance[t.Tier()]
	if q.Bulk {
		part = bulky[t.Tier()]
	}
	score += time.Duration(part * float64(q.Objective))
	return score + score*time.Duration(q.Random(jitter))/1000, wait
}
