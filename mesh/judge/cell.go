package judge

import "wisteriaspoke.example/mesh/outcome"

// StratumOutcomes holds what both versions did in one stratum over one stretch of time.
type StratumOutcomes struct {
	Route          string
	EndpointRegion string // of the endpoint
	CallerRegion   string // region of the caller, since the distance is part of the latency
	New            outcome.Outcome
	Old            outcome.Outcome
	WarmingUp      bool // an endpoint of the new version in the region joined within the cold start
}

type stratum struct{ route, region, caller string }

func (c StratumOutcomes) stratum() stratum { return stratum{c.Route, c.EndpointRegion, c.CallerRegion} }

// tally is a pair of counts of both versions.
type tally struct {
	newCalls, newHits float64
	oldCalls, oldHits float64
}

func (t tally) plus(o tally) tally {
	t.newCalls += o.newCalls
	t.newHits += o.newHits
	t.oldCalls += o.oldCalls
	t.oldHits += o.oldHits
	return t
}

// failed counts a crash as a failure. Failures already holds calls without a whole response; the larger of the two
// also covers a data path that counts a crash as a crash only.
func failed(o outcome.Outcome) float64 {
	return float64(min(o.Calls(), max(o.Failures(), o.Crashes())))
}

func failures(c StratumOutcomes) tally {
	return tally{float64(c.New.Calls()), failed(c.New), float64(c.Old.Calls()), failed(c.Old)}
}

// slow counts the calls in buckets above limit; a failed call may have ended early, so only bucket counts are used.
func slow(c StratumOutcomes, limit int) tally {
	n, nh := above(c.New.LatencyHistogram(), limit)
	o, oh := above(c.Old.LatencyHistogram(), limit)
	return tally{n, nh, o, oh}
}

func above(latency [outcome.Buckets]uint64, limit int) (calls, hits float64) {
	for i, n := range latency {
		calls += float64(n)
		if i > limit {
			hits += float64(n)
		}
	}
	return calls, hits
}
