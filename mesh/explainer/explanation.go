package explainer

import (
	"time"

	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/target"
)

// explanation is the page's value; times are in milliseconds.
type explanation struct {
	Method              string           `json:"method"`
	Host                string           `json:"host"`
	Path                string           `json:"path"`
	Version             uint64           `json:"configuration"`
	Rule                *ruleOutlook     `json:"rule,omitempty"` // absent if none matches
	KeyRequired         bool             `json:"keyRequired"`
	Tenant              *tenantOutlook   `json:"tenant,omitempty"`
	ExpectedServiceTime float64          `json:"expectedMs"`
	Services            []serviceOutlook `json:"services"`
	Refusals            []refusal        `json:"refusals"`
}

type ruleOutlook struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	Prefix     string  `json:"prefix"`
	Public     bool    `json:"public"`
	Idempotent bool    `json:"idempotent"`
	Bulk       bool    `json:"bulk"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Objective  float64 `json:"objectiveMs"`
	Timeout    float64 `json:"timeoutMs"`
}

type tenantOutlook struct {
	Name          string  `json:"name"`
	Priority      int     `json:"priority"`
	RatePerSecond float64 `json:"ratePerS"`
	Burst         float64 `json:"burst"`
}

type serviceOutlook struct {
	Name     string           `json:"name"`
	Weight   int              `json:"weight"`
	Retries  int              `json:"retries"` // that this node may send now
	Versions []versionOutlook `json:"versions"`
}

type versionOutlook struct {
	Version      string      `json:"version"`
	Permille     int         `json:"permille"`
	Chosen       string      `json:"chosen,omitempty"`
	ExpectedWait float64     `json:"expectedWaitMs"`
	LongestWait  float64     `json:"longestWaitMs"`
	Candidates   []candidate `json:"candidates"`
}

// candidate is an endpoint with the terms of its score.
type candidate struct {
	Node        string  `json:"node"`
	Instance    string  `json:"instance"`
	State       string  `json:"state"`
	Tier        string  `json:"tier"`
	Chosen      bool    `json:"chosen"`
	Leaving     bool    `json:"leaving"` // gets no call and has no score
	Slots       int     `json:"slots"`
	Own         int     `json:"own"`         // calls of this node
	Utilisation float64 `json:"utilisation"` // by all nodes' estimated calls
	Score       float64 `json:"scoreMs"`     // the sum of the following
	Service     float64 `json:"serviceMs"`
	Wait        float64 `json:"waitMs"`
	Load        float64 `json:"loadMs"`
	TierCost    float64 `json:"tierMs"`
	Failures    float64 `json:"failuresMs"`
	Backoff     float64 `json:"backoffMs"`
	Ejected     float64 `json:"ejectedMs"`
}

// refusal is a reason for which requests, or those for one version, would be refused now.
type refusal struct {
	Status     int     `json:"status"`
	Reason     string  `json:"reason"`
	RetryAfter float64 `json:"retryAfterMs,omitempty"`
}

func (a *explanation) refuse(status int, reason string, retryAfter time.Duration) {
	a.Refusals = append(a.Refusals, refusal{Status: status, Reason: reason, RetryAfter: milliseconds(retryAfter)})
}

func newRuleOutlook(r *rule.Rule) *ruleOutlook {
	return &ruleOutlook{
		Name: r.Name(), Host: r.Host(), Prefix: r.Prefix(), Public: r.Public(), Idempotent: r.Idempotent(), Bulk: r.Bulk(),
		Priority: r.Priority(), Attempts: r.Attempts(), Objective: milliseconds(r.Objective()), Timeout: milliseconds(r.Timeout()),
	}
}

func newCandidate(t *target.Target, s chooser.Score, considered, chosen bool) candidate {
	e := t.Endpoint()
	return candidate{
		Node: e.Address(), Instance: e.Instance(), State: string(e.State()), Tier: t.Tier().String(), Chosen: chosen,
		Leaving: !considered, Slots: e.Slots(), Own: t.Gauge().Outstanding(), Utilisation: rounded(s.Utilisation),
		Score: milliseconds(s.Total()), Service: milliseconds(s.Service), Wait: milliseconds(s.Wait), Load: milliseconds(s.Load),
		TierCost: milliseconds(s.Tier), Failures: milliseconds(s.Failures), Backoff: milliseconds(s.Backoff), Ejected: milliseconds(s.Ejected),
	}
}

// milliseconds returns a duration to the tenth of a millisecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond).Microseconds()) / 1000
}

// rounded returns a fraction to the hundredth.
func rounded(x float64) float64 { return float64(int(100*x+0.5)) / 100 }
