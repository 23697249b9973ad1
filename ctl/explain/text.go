package explain

import (
	"cmp"
	"fmt"
	"io"
	"strings"
)

// request is a node's explanation of where a request would go; times are in milliseconds.
type request struct {
	Method        string  `json:"method"`
	Host          string  `json:"host"`
	Path          string  `json:"path"`
	Configuration uint64  `json:"configuration"`
	Rule          *rule   `json:"rule"`
	KeyRequired   bool    `json:"keyRequired"`
	Tenant        *tenant `json:"tenant"`
	Expected      float64 `json:"expectedMs"`
	Services      []struct {
		Name     string    `json:"name"`
		Weight   int       `json:"weight"`
		Retries  int       `json:"retries"`
		Versions []version `json:"versions"`
	} `json:"services"`
	Refusals []struct {
		Status     int     `json:"status"`
		Reason     string  `json:"reason"`
		RetryAfter float64 `json:"retryAfterMs"`
	} `json:"refusals"`
}

type rule struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	Prefix     string  `json:"prefix"`
	Idempotent bool    `json:"idempotent"`
	Bulk       bool    `json:"bulk"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Objective  float64 `json:"objectiveMs"`
	Timeout    float64 `json:"timeoutMs"`
}

type tenant struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Rate     float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
}

type version struct {
	Version      string      `json:"version"`
	Permille     int         `json:"permille"`
	Chosen       string      `json:"chosen"`
	ExpectedWait float64     `json:"expectedWaitMs"`
	LongestWait  float64     `json:"longestWaitMs"`
	Candidates   []candidate `json:"candidates"`
}

type candidate struct {
	Node        string  `json:"node"`
	State       string  `json:"state"`
	Tier        string  `json:"tier"`
	Chosen      bool    `json:"chosen"`
	Leaving     bool    `json:"leaving"`
	Slots       int     `json:"slots"`
	Own         int     `json:"own"`
	Utilisation float64 `json:"utilisation"`
	Score       float64 `json:"scoreMs"`
	Service     float64 `json:"serviceMs"`
	Wait        float64 `json:"waitMs"`
	Load        float64 `json:"loadMs"`
	TierCost    float64 `json:"tierMs"`
	Failures    float64 `json:"failuresMs"`
	Backoff     float64 `json:"backoffMs"`
	Ejected     float64 `json:"ejectedMs"`
}

// writeText writes the explanation for people.
func (a *request) writeText(w io.Writer) {
	fmt.Fprintf(w, "request\t%s %s%s, configuration %d\n", a.Method, a.Host, a.Path, a.Configuration)
	if r := a.Rule; r == nil {
		fmt.Fprintln(w, "rule\tnone matches")
	} else {
		fmt.Fprintf(w, "rule\t%s (%s%s), priority %d, objective %g ms, timeout %g ms, %s\n",
			r.Name, r.Host, r.Prefix, r.Priority, r.Objective, r.Timeout, r.kind())
		fmt.Fprintf(w, "key\t%s\n", map[bool]string{true: "required", false: "not required"}[a.KeyRequired])
	}
	if t := a.Tenant; t != nil {
		fmt.Fprintf(w, "tenant\t%s, priority %d, %s\n", t.Name, t.Priority, t.limit())
	}
	if a.Rule != nil {
		fmt.Fprintf(w, "service time\t%g ms expected\n", a.Expected)
	}
	for _, s := range a.Services {
		fmt.Fprintf(w, "service\t%s, weight %d, %d retries left on this node\n", s.Name, s.Weight, s.Retries)
		for _, v := range s.Versions {
			v.writeText(w)
		}
	}
	for _, r := range a.Refusals {
		fmt.Fprintf(w, "refused\t%d %s", r.Status, r.Reason)
		if r.RetryAfter > 0 {
			fmt.Fprintf(w, ", again in %g ms", r.RetryAfter)
		}
		fmt.Fprintln(w)
	}
	if len(a.Refusals) == 0 {
		fmt.Fprintln(w, "refused\tno")
	}
}

func (r *rule) kind() string {
	words := []string{fmt.Sprintf("at most %d attempts", r.Attempts)}
	if !r.Idempotent {
		words = []string{"runs once only"}
	}
	if r.Bulk {
		words = append(words, "large bodies")
	}
	return strings.Join(words, ", ")
}

func (t *tenant) limit() string {
	if t.Rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g requests/s, burst %g", t.Rate, t.Burst)
}

func (v *version) writeText(w io.Writer) {
	chosen := cmp.Or(v.Chosen, "no endpoint")
	fmt.Fprintf(w, "version\t%s, %g%% of the requests, goes to %s", cmp.Or(v.Version, "-"), float64(v.Permille)/10, chosen)
	if v.Chosen != "" {
		fmt.Fprintf(w, ", wait %g ms expected, %g ms at most", v.ExpectedWait, v.LongestWait)
	}
	fmt.Fprintln(w)
	if len(v.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w, "\tNODE\tTIER\tSTATE\tOWN/SLOTS\tUSED\tSCORE\tSERVICE\tWAIT\tLOAD\tTIER\tFAILURES\tBACKOFF\tEJECTED")
	for _, c := range v.Candidates {
		mark := ""
		if c.Chosen {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d", mark, c.Node, c.Tier, c.State, c.Own, c.Slots)
		if c.Leaving {
			fmt.Fprintln(w, "\tleaves and gets no call")
			continue
		}
		fmt.Fprintf(w, "\t%.0f%%", 100*c.Utilisation)
		for _, term := range []float64{c.Score, c.Service, c.Wait, c.Load, c.TierCost, c.Failures, c.Backoff, c.Ejected} {
			fmt.Fprintf(w, "\t%g", term)
		}
		fmt.Fprintln(w)
	}
}
