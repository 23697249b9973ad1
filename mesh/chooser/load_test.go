package chooser

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/estimator"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/target"
)

// The load of the test: 80 nodes in 6 data centres of 3 regions call 50 endpoints, which are beside the first 50 nodes.
const (
	nodes, endpoints, dataCentres = 80, 50, 6
	slotsPerEndpoint              = 9
	meanWork                      = 190 * time.Millisecond // without the long calls
	workSpread                    = 0.8                    // of the logarithm
	longShare, longFactor         = 0.03, 7.0
	slowShare, slowPeriodFactor   = 0.15, 2.5
	slowPeriod                    = 600 * time.Millisecond
	objective                     = 800 * time.Millisecond
	timeout                       = 3 * time.Second
	maxSends, maxUpstreamSends    = 4, 2 // as in the forwarder
	measureFrom, loadEnd          = 4 * time.Second, 14 * time.Second
	sampleInterval                = 20 * time.Millisecond
	windowSamples                 = 50 // of the ratio over a second
	startingAt                    = 6 * time.Second
	coldFactor, coldPeriod        = 2.0, 3 * time.Second
	leavingAt                     = 9 * time.Second
	sheddingAt, shedShare         = 11 * time.Second, 0.55
	startingEndpoint              = 20
	leavingEndpoint               = 31
	sheddingEndpoint              = 10
	statusInterval                = time.Second
	remoteStatusInterval          = 3 // in status intervals
)

// speeds multiply the service time; a third of the endpoints has each.
var speeds = [...]float64{0.7, 0.7, 1.7}

// unevenDemand and evenDemand are the shares of the data centres in the load, as multiples of the mean.
var (
	unevenDemand = [dataCentres]float64{1.45, 1.1, 0.7, 0.95, 1.0, 0.8}
	evenDemand   = [dataCentres]float64{1, 1, 1, 1, 1, 1}
)

// outcome holds the figures of a run.
type outcome struct {
	ratio, capacityRatio, windowRatio, centreRatio float64
	waits, times                                   []time.Duration
	requests, refused, sends, otherCentre, remote  int
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulated is a run of the load in virtual time.
type simulated struct {
	outcome
	queue   events
	number  int
	at      time.Duration
	start   time.Time
	random  *rand.Rand
	choose  func(Input) Choice
	nodes   []*simulatedNode
	hosts   []*simulatedEndpoint
	leaving bool
}

type simulatedNode struct {
	index     int
	targets   []*target.Target
	hosts     []*simulatedEndpoint // of targets
	estimator *estimator.Estimator
}

type simulatedEndpoint struct {
	index    int
	speed    float64
	slowFrom []time.Duration
	running  int
	waiting  []*simulatedCall
	mean     float64 // of the service time, as slotter has it
	ratio    float64 // as runner has it
	calls    int     // in progress, summed over the samples of a window
}

type simulatedCall struct {
	arrived time.Duration
	work    float64 // nanoseconds
	expect  time.Duration
	done    func(status string, wait, spent time.Duration)
}

func (s *simulated) after(d time.Duration, f func()) {
	s.number++
	heap.Push(&s.queue, event{s.at + d, s.number, f})
}

func (s *simulated) now() time.Time { return s.start.Add(s.at) }

func centreOf(i int) int { return i % dataCentres }
func regionOf(i int) int { return i % dataCentres / 2 }

func newTarget(e, node int, g *gauge.Gauge, warmupEnd time.Time) *target.Target {
	centre := func(i int) string { return fmt.Sprint("c", centreOf(i)) }
	region := func(i int) string { return fmt.Sprint("r", regionOf(i)) }
	return target.New(endpoint.New(endpoint.Fields{
		Address: fmt.Sprint("n", e), Service: "s", Version: "v", DataCentre: centre(e), Region: region(e),
		Slots: slotsPerEndpoint, State: endpoint.Ready, WarmupEnd: warmupEnd,
	}), g, fmt.Sprint("n", node), centre(node), region(node))
}

func latency(t target.Tier) time.Duration {
	return [...]time.Duration{0, 200 * time.Microsecond, time.Millisecond, 20 * time.Millisecond}[t]
}

// simulate runs the load at a fraction of the endpoints' capacity.
func simulate(load float64, demand [dataCentres]float64, seed uint64, choose func(Input) Choice) outcome {
	s := &simulated{start: now, random: rand.New(rand.NewPCG(seed, 1)), choose: choose}
	capacity := 0.0
	for i := range endpoints {
		h := &simulatedEndpoint{index: i, speed: speeds[i/dataCentres%len(speeds)], mean: 1e8, ratio: 0.7}
		period := float64(slowPeriod) / slowShare
		for at := s.random.Float64() * period; at < float64(loadEnd); {
			h.slowFrom = append(h.slowFrom, time.Duration(at))
			at += float64(slowPeriod) + s.random.ExpFloat64()*(period-float64(slowPeriod))
		}
		s.hosts = append(s.hosts, h)
		slots := slotsPerEndpoint / h.speed * (1 - slowShare + slowShare/slowPeriodFactor)
		capacity += slots / (meanWork.Seconds() * (1 + longShare*(longFactor-1)))
	}
	for i := range nodes {
		n := &simulatedNode{index: i, estimator: estimator.New()}
		for e, h := range s.hosts {
			if e != startingEndpoint {
				n.targets, n.hosts = append(n.targets, newTarget(e, i, gauge.New(s.start), time.Time{})), append(n.hosts, h)
			}
		}
		s.nodes = append(s.nodes, n)
	}
	perCentre := [dataCentres]float64{}
	for i := range nodes {
		perCentre[centreOf(i)]++
	}
	for i, n := range s.nodes {
		rate := load * capacity * demand[centreOf(i)] / dataCentres / perCentre[centreOf(i)]
		s.arrivals(n, rate)
	}
	for i, h := range s.hosts {
		if i != startingEndpoint {
			s.after(time.Duration(s.random.Float64()*float64(statusInterval)), func() { s.status(h, 0) })
		}
	}
	s.after(startingAt, func() {
		h := s.hosts[startingEndpoint]
		for _, n := range s.nodes {
			n.targets = append(slices.Clone(n.targets), newTarget(h.index, n.index, gauge.New(s.now()), s.now().Add(coldPeriod)))
			n.hosts = append(slices.Clone(n.hosts), h)
		}
		s.status(h, 0)
	})
	s.after(leavingAt, func() {
		s.leaving = true
		for _, n := range s.nodes {
			for _, t := range n.targets {
				if t.Endpoint().Address() == fmt.Sprint("n", leavingEndpoint) {
					s.after(latency(t.Tier()), t.Gauge().MarkLeaving)
				}
			}
		}
	})
	s.after(measureFrom, func() { s.sample(0) })
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > loadEnd {
			break
		}
		s.at = e.at
		e.run()
	}
	samples := float64((loadEnd - measureFrom) / sampleInterval)
	s.ratio /= samples
	s.capacityRatio /= samples
	s.centreRatio /= samples
	s.windowRatio /= math.Floor(samples / windowSamples)
	return s.outcome
}

// sample adds the ratios of the maximum to the mean of calls in progress.
func (s *simulated) sample(number int) {
	if s.at+sampleInterval > loadEnd {
		return
	}
	var sum, most, capacitySum, capacityMost, windowSum, windowMost, count float64
	var centreSum, centreMost, centreCount [dataCentres]float64
	for _, h := range s.hosts {
		if h.index == startingEndpoint && s.at < startingAt || h.index == leavingEndpoint && s.leaving ||
			h.index == sheddingEndpoint && s.at > sheddingAt {
			h.calls = 0
			continue
		}
		n := h.running + len(h.waiting)
		h.calls += n
		used := float64(n) / slotsPerEndpoint
		count++
		sum, most = sum+used, max(most, used)
		capacitySum, capacityMost = capacitySum+used*h.speed, max(capacityMost, used*h.speed)
		windowSum, windowMost = windowSum+float64(h.calls), max(windowMost, float64(h.calls))
		c := centreOf(h.index)
		centreCount[c]++
		centreSum[c], centreMost[c] = centreSum[c]+used, max(centreMost[c], used)
	}
	s.ratio += most / (sum / count)
	s.capacityRatio += capacityMost / (capacitySum / count)
	for c := range dataCentres {
		s.centreRatio += centreMost[c] / max(0.1, centreSum[c]/centreCount[c]) / dataCentres
	}
	if number++; number%windowSamples == 0 {
		s.windowRatio += windowMost / (windowSum / count)
		for _, h := range s.hosts {
			h.calls = 0
		}
	}
	s.after(sampleInterval, func() { s.sample(number) })
}

// status sends the endpoint's load to all nodes, as status messages do.
func (s *simulated) status(h *simulatedEndpoint, number int) {
	outstanding, ratio := h.running+len(h.waiting), h.ratio
	for _, n := range s.nodes {
		remote := regionOf(n.index) != regionOf(h.index)
		if remote && number%remoteStatusInterval != 0 || n.index == h.index {
			continue
		}
		if i := slices.Index(n.hosts, h); i >= 0 {
			t := n.targets[i]
			s.after(latency(t.Tier()), func() {
				t.Gauge().RecordLoad(outstanding, s.now())
				t.Gauge().SetServiceTimeRatio(ratio)
				t.Gauge().UpdateSteadyRatio(s.now())
			})
		}
	}
	s.after(statusInterval, func() { s.status(h, number+1) })
}

func (s *simulated) arrivals(n *simulatedNode, rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*1e9), func() {
		work := float64(meanWork) * math.Exp(workSpread*s.random.NormFloat64()-workSpread*workSpread/2)
		if s.random.Float64() < longShare {
			work *= longFactor
		}
		s.send(n, work, s.at, nil, 0)
		s.arrivals(n, rate)
	})
}

// send does what Forward does for one send of a request.
func (s *simulated) send(n *simulatedNode, work float64, began time.Duration, tried []*target.Target, upstreamSends int) {
	finish := func(refused bool, wait time.Duration) {
		if began < measureFrom {
			return
		}
		s.requests++
		if refused {
			s.refused++
			return
		}
		s.waits, s.times = append(s.waits, wait), append(s.times, s.at-began)
	}
	expect := n.estimator.ServiceTime("r", objective)
	left := began + timeout - s.at
	if len(tried) >= maxSends || len(tried) > 0 && left < expect/2 {
		finish(true, 0)
		return
	}
	c := s.choose(Input{
		Targets: n.targets, Exclude: tried, ExpectedServiceTime: expect, Objective: objective, Now: s.now(), Random: s.random.IntN,
	})
	t := c.Target()
	if t == nil || t.Gauge().InBackoff(false, s.now()) {
		finish(true, 0)
		return
	}
	if began >= measureFrom {
		s.sends++
		if t.Tier() >= target.SameRegion {
			s.otherCentre++
		}
		if t.Tier() == target.RemoteRegion {
			s.remote++
		}
	}
	g, h := t.Gauge(), n.hosts[slices.Index(n.targets, t)]
	mark := g.Begin(s.now())
	latestStart := objective - (s.at - began) - time.Duration(1.5*float64(expect)*g.ServiceTimeRatio())
	maxWait := c.MaxWait()
	if c.NoAlternative() {
		maxWait = timeout
	}
	answered := func(status string, wait, spent time.Duration) {
		outstanding, ratio := h.running+len(h.waiting), h.ratio
		s.after(latency(t.Tier()), func() {
			g.End(mark)
			g.RecordLoad(outstanding, s.now())
			switch status {
			case "":
				g.RecordSuccess(s.now())
				n.estimator.Observe("r", objective, time.Duration(float64(spent)/g.ServiceTimeRatio()))
				g.SetServiceTimeRatio(ratio)
				g.UpdateSteadyRatio(s.now())
				finish(false, wait)
				return
			case "leaving":
				g.MarkLeaving()
			default:
				if latestStart > 0 {
					g.BackOff(false, s.now().Add(min(150*time.Millisecond, max(30*time.Millisecond, wait/2))))
				}
				if status == "shed" {
					g.RecordFailure(s.now())
				}
			}
			g.SetServiceTimeRatio(ratio)
			g.UpdateSteadyRatio(s.now())
			if status == "shed" {
				upstreamSends++
			}
			if upstreamSends >= maxUpstreamSends {
				finish(true, 0)
				return
			}
			s.send(n, work, began, append(slices.Clone(tried), t), upstreamSends)
		})
	}
	s.after(latency(t.Tier()), func() {
		s.arrive(h, &simulatedCall{arrived: s.at, work: work, expect: expect, done: answered}, min(maxWait, latestStart, left))
	})
}

// arrive gives the call a slot, queues it or refuses it, as slotter does with calls of one priority.
func (s *simulated) arrive(h *simulatedEndpoint, c *simulatedCall, longest time.Duration) {
	if h.index == leavingEndpoint && s.leaving {
		c.done("leaving", 0, 0)
		return
	}
	if h.running < slotsPerEndpoint {
		s.run(h, c)
		return
	}
	expected := time.Duration(h.mean * float64(len(h.waiting)+1) / slotsPerEndpoint)
	if expected > longest {
		c.done("full", expected, 0)
		return
	}
	h.waiting = append(h.waiting, c)
	s.after(longest, func() {
		if i := slices.Index(h.waiting, c); i >= 0 {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			c.done("full", time.Duration(h.mean), 0)
		}
	})
}

func (s *simulated) run(h *simulatedEndpoint, c *simulatedCall) {
	h.running++
	wait := s.at - c.arrived
	if h.index == sheddingEndpoint && s.at > sheddingAt && s.random.Float64() < shedShare {
		s.after(5*time.Millisecond, func() {
			s.release(h)
			c.done("shed", 0, 0)
		})
		return
	}
	spent := c.work * h.speed
	for _, from := range h.slowFrom {
		if s.at >= from && s.at < from+slowPeriod {
			spent *= slowPeriodFactor
		}
	}
	if h.index == startingEndpoint && s.at < startingAt+coldPeriod {
		spent *= coldFactor
	}
	s.after(time.Duration(spent), func() {
		h.mean += 0.1 * (spent - h.mean)
		h.ratio += 0.1*(min(10, spent/float64(c.expect))-h.ratio) + 0.01*(1-h.ratio)
		s.release(h)
		c.done("", wait, time.Duration(spent))
	})
}

func (s *simulated) release(h *simulatedEndpoint) {
	h.running--
	if len(h.waiting) > 0 {
		c := h.waiting[0]
		h.waiting = slices.Delete(h.waiting, 0, 1)
		s.run(h, c)
	}
}

// quantile returns a quantile of durations in milliseconds.
func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	return float64(ds[int(q*float64(len(ds)-1))]) / 1e6
}
