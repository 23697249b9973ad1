package chooser

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/projector"
	"wisteriaspoke.example/mesh/sampler"
	"wisteriaspoke.example/mesh/target"
)

// evenSettings are the settings of an even choice.
type evenSettings struct {
	sizes       [sampler.Groups]int // endpoints that are considered of each tier
	best        int                 // endpoints with the lowest scores of which one is drawn at random
	near        float64             // largest difference of their scores, as a fraction of the expected service time
	loadPenalty float64             // fullLoadPenalty, for a load that is known from an old report
	minWait     float64             // lower bound of Choice.MaxWait, as a fraction of the expected service time
}

// defaultEvenSettings consider few endpoints of other data centres, so that a call leaves its data centre because that is
// full and not because one of many other endpoints happens to look idle.
var defaultEvenSettings = evenSettings{
	sizes: [sampler.Groups]int{target.SameDataCentre: 6, target.SameRegion: 2, target.RemoteRegion: 8},
	best:  5, near: 0.15, loadPenalty: 0.35, minWait: 0.1,
}

// evenGroup returns the group of an endpoint for sampling and for mean utilisations. The local endpoint belongs to those
// of its data centre.
func evenGroup(t *target.Target) int { return int(max(t.Tier(), target.SameDataCentre)) }

// evenServiceTime returns the expected service time of the call at the endpoint.
func evenServiceTime(t *target.Target, in Input) time.Duration {
	return serviceTime(t, in, t.Gauge().SteadyRatio())
}

// choose returns one of the best of a few endpoints that it draws at random. All nodes choose with old reports of
// the same loads, so an endpoint that looks best to all would get the calls of all.
func (e *evenSettings) choose(in Input) Choice {
	loads := projectLoads(in)
	near := time.Duration(e.near * float64(in.ExpectedServiceTime))
	draw := sampler.Sampler{Sizes: e.sizes, Best: e.best, Near: near, Random: in.Random}
	for i, t := range in.Targets {
		if excluded(t, in) {
			continue
		}
		s := e.score(t, in, &loads)
		draw.Offer(evenGroup(t), i, s.Backoff == 0 && s.Ejected == 0, s.Total())
	}
	drawn, other := draw.Draw()
	if drawn == sampler.Nobody {
		return Choice{noAlternative: true}
	}
	t := in.Targets[drawn]
	s := e.score(t, in, &loads)
	c := Choice{target: t, expectedWait: s.Wait, noAlternative: other == sampler.Nobody, utilisation: s.Utilisation}
	if !c.noAlternative {
		least := max(minMaxWait, time.Duration(e.minWait*float64(in.ExpectedServiceTime)))
		c.maxWait = max(least, s.Wait, e.score(in.Targets[other], in, &loads).Total()-(s.Total()-s.Wait))
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

// score returns the terms of the endpoint's score.
func (e *evenSettings) score(t *target.Target, in Input, loads *projector.Projector) Score {
	service, group := evenServiceTime(t, in), evenGroup(t)
	slots := capacity(t.Endpoint(), service)
	var others float64
	if reported, age, ok := t.Gauge().Report(in.Now); ok {
		others = loads.Others(group, reported, slots, age, in.ExpectedServiceTime)
	} else {
		others = loads.Utilisation(group) * slots
	}
	return scoreLoad(t, in, service, slots, float64(t.Gauge().Outstanding())+others, e.loadPenalty)
}
