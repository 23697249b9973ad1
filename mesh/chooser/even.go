package chooser

import (
	"math"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/projector"
	"wisteriaspoke.example/mesh/sampler"
	"wisteriaspoke.example/mesh/target"
)

var (
	// evenSampleSizes are the endpoints that are considered of each tier. Few of other data centres are considered, so that
	// calls leave the data centre because it is full and not because one of many others happens to look idle.
	evenSampleSizes = [sampler.Groups]int{target.SameDataCentre: 3, target.SameRegion: 1, target.RemoteRegion: 1}
	// evenBest is the number of sampled endpoints of which one is drawn at random.
	evenBest = 2
	// evenNear is the largest difference of their scores, as a fraction of the expected service time.
	evenNear = 1.0
	// evenLoadPenalty is fullLoadPenalty for Even: an endpoint that is nearly full by an old report may be full now.
	evenLoadPenalty = 2.0
	// ratioExponent lessens the differences between measured service time ratios, which exceed the true ones.
	ratioExponent = 0.5
	// minWaitFraction is the lower bound of Choice.MaxWait as a fraction of the expected service time. A call that is sent
	// on after a shorter wait finds a slot elsewhere no sooner.
	minWaitFraction = 0.25
)

// evenGroup returns the group of an endpoint for sampling and for mean utilisations. The local endpoint belongs to those
// of its data centre.
func evenGroup(t *target.Target) int { return int(max(t.Tier(), target.SameDataCentre)) }

// evenServiceTime returns the expected service time of the call at the endpoint.
func evenServiceTime(t *target.Target, in Input) time.Duration {
	service := float64(in.ExpectedServiceTime) * math.Pow(t.Gauge().SteadyRatio(), ratioExponent)
	if t.Endpoint().WarmupEnd().After(in.Now) {
		service *= warmupFactor
	}
	return time.Duration(service)
}

// chooseEvenly returns one of the best of a few endpoints that it draws at random. All nodes choose with old reports of
// the same loads, so an endpoint that looks best to all would get the calls of all.
func chooseEvenly(in Input) Choice {
	loads := projectLoads(in)
	draw := sampler.Sampler{Sizes: evenSampleSizes, Best: evenBest, Near: time.Duration(evenNear * float64(in.ExpectedServiceTime)), Random: in.Random}
	for i, t := range in.Targets {
		if excluded(t, in) {
			continue
		}
		s := scoreEvenly(t, in, &loads)
		draw.Offer(evenGroup(t), i, s.Backoff == 0 && s.Ejected == 0, withJitter(s.Total(), in))
	}
	drawn, other := draw.Draw()
	if drawn == sampler.Nobody {
		return Choice{noAlternative: true}
	}
	t := in.Targets[drawn]
	s := scoreEvenly(t, in, &loads)
	c := Choice{target: t, expectedWait: s.Wait, noAlternative: other == sampler.Nobody, utilisation: s.Utilisation}
	if !c.noAlternative {
		least := max(minMaxWait, time.Duration(minWaitFraction*float64(in.ExpectedServiceTime)))
		c.maxWait = max(least, s.Wait, scoreEvenly(in.Targets[other], in, &loads).Total()-(s.Total()-s.Wait))
	}
	return c
}

// excluded reports whether the endpoint gets no call.
func excluded(t *target.Target, in Input) bool {
	return t.Gauge().Leaving() || slices.Contains(in.Exclude, t)
}

// projectLoads returns the mean utilisations by the reports of all endpoints.
func projectLoads(in Input) (p projector.Projector) {
	for _, t := range in.Targets {
		if others, age, ok := t.Gauge().Report(in.Now); ok && !t.Gauge().Leaving() {
			p.Add(evenGroup(t), others, capacity(t.Endpoint(), evenServiceTime(t, in)), age)
		}
	}
	return p
}

// scoreEvenly returns the terms of the endpoint's score.
func scoreEvenly(t *target.Target, in Input, loads *projector.Projector) Score {
	service, group := evenServiceTime(t, in), evenGroup(t)
	slots := capacity(t.Endpoint(), service)
	var others float64
	if reported, age, ok := t.Gauge().Report(in.Now); ok {
		others = loads.Others(group, reported, slots, age, in.ExpectedServiceTime)
	} else {
		others = loads.Utilisation(group) * slots
	}
	return scoreLoad(t, in, service, slots, float64(t.Gauge().Outstanding())+others, evenLoadPenalty)
}
