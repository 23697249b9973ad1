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

// distance is what a call to each tier must save in waiting time to be sent there: the way there and back and the
// volume that it moves. Volume between regions is dear, so bulky calls stay near unless they would be late.
var (
	distance = [...]time.Duration{target.Own: 0, target.Near: time.Millisecond, target.Region: 12 * time.Millisecond, target.Far: 130 * time.Millisecond}
	bulky    = [...]time.Duration{target.Own: 0, target.Near: 2 * time.Millisecond, target.Region: 60 * time.Millisecond, target.Far: 700 * time.Millisecond}
)

// Question is what one choice depends on.
type Question struct {
	Targets  []*target.Target
	Exclude  []*target.Target // already tried
	Expected time.Duration    // usual time of the rule's calls in the upstream
	Bulky    bool
	Now      time.Time
	Random   func(int) int // returns a number in [0, n)
}

// Choice is the endpoint for one attempt.
type Choice struct {
	target   *target.Target
	expected time.Duration
	patience time.Duration
	only     bool
}

// Target returns the endpoint, or nil if there is none.
func (c Choice) Target() *target.Target { return c.target }

// Expected returns the time until the answer is expected.
func (c Choice) Expected() time.Duration { return c.expected }

// Patience returns how long waiting for a slot there is better than the second choice.
func (c Choice) Patience() time.Duration { return c.patience }

// Only reports that there is no second choice, so that the patience has no bound of its own.
func (c Choice) Only() bool { return c.only }

// Choose returns the endpoint with the lowest expected time until the answer, with the costs of distance, of likely
// failures and of recent refusals added.
func Choose(q Question) Choice {
	var best, second *target.Target
	var low, next, queue time.Duration
	for _, t := range q.Targets {
		if slices.Contains(q.Exclude, t) {
			continue
		}
		score, wait := weigh(t, q)
		switch {
		case best == nil || score < low:
			second, next = best, low
			best, low, queue = t, score, wait
		case second == nil || score < next:
			second, next = t, score
		}
	}
	c := Choice{target: best, expected: low, only: second == nil}
	if second != nil {
		c.patience = max(leastPatience, next-(low-queue))
	}
	return c
}

// weigh returns the score and the part of it that is the expected wait for a slot.
func weigh(t *target.Target, q Question) (score, wait time.Duration) {
	g, e := t.Gauge(), t.Endpoint()
	service := time.Duration(float64(q.Expected) * g.Pace())
	if e.Warm().After(q.Now) {
		service = time.Duration(float64(service) * coldFactor)
	}
	if age := g.Age(q.Now); age > service {
		service = time.Duration(float64(age) * slowFactor)
	}
	slots := float64(max(1, e.Slots()))
	load := g.Load(q.Now)
	full := min(1, load/slots)
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(float64(service) * over / slots)
	}
	score = service + wait + time.Duration(float64(service)*crowding*full*full)
	score += time.Duration(float64(failureCost) * g.Failures(q.Now))
	if g.Held(q.Now) {
		score += heldCost
	}
	if g.Ejected(q.Now) {
		score += ejectedCost
	}
	if q.Bulky {
		score += bulky[t.Tier()]
	} else {
		score += distance[t.Tier()]
	}
	return score + score*time.Duration(q.Random(jitter))/1000, wait
}
