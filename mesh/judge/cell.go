package judge

import "wisteriaspoke.example/mesh/outcome"

// StratumOutcomes holds the outcomes of both versions in one stratum over one window.
type StratumOutcomes struct {
	Route          string
	EndpointRegion string
	CallerRegion   string // separate, since the distance is part of the latency
	New            outcome.Outcome
	Old            outcome.Outcome
	WarmingUp      bool // an endpoint of the new version in the region joined within the cold start
}

// stratum identifies calls whose failure rates and latencies are comparable.
type stratum struct{ route, region, caller string }

func (c StratumOutcomes) stratum() stratum { return stratum{c.Route, c.EndpointRegion, c.CallerRegion} }

// versionCounts holds the calls of both versions and the hits among them: failures or slow calls.
type versionCounts struct {
	newCalls, newHits float64
	oldCalls, oldHits float64
}

func (t versionCounts) add(o versionCounts) versionCounts {
	t.newCalls += o.newCalls
	t.newHits += o.newHits
	t.oldCalls += o.oldCalls
	t.oldHits += o.oldHits
	return t
}

// failed returns the number of failures, crashes included. Failures already includes calls without a complete response;
// the larger of both counts also covers a data path that counts crashes only as crashes.
func failed(o outcome.Outcome) float64 {
	return float64(min(o.Calls(), max(o.Failures(), o.Crashes())))
}

func failures(c StratumOutcomes) versionCounts {
	return versionCounts{float64(c.New.Calls()), failed(c.New), float64(c.Old.Calls()), failed(c.Old)}
}

// slow counts the calls in buckets above limit. The total is that of the buckets, since a failed call may have ended
// early.
func slow(c StratumOutcomes, limit int) versionCounts {
	n, nh := above(c.New.LatencyHistogram(), limit)
	o, oh := above(c.Old.LatencyHistogram(), limit)
	return versionCounts{n, nh, o, oh}
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
