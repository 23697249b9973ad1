package explainer

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// node is a fake of the parts that the explainer uses.
type node struct {
	view *view.View
	now  time.Time
}

func (n *node) View() *view.View                                     { return n.view }
func (n *node) ExpectedServiceTime(*rule.Rule) time.Duration         { return 100 * time.Millisecond }
func (n *node) RetryBalance(string) int                              { return 7 }
func (n *node) LongestWait(*rule.Rule, *target.Target) time.Duration { return 250 * time.Millisecond }
func (n *node) ExplainChoice(r *rule.Rule, ts []*target.Target) chooser.Explanation {
	return chooser.Explain(chooser.Input{
		Targets: ts, ExpectedServiceTime: 100 * time.Millisecond, Objective: r.Objective(), Bulk: r.Bulk(), Now: n.now,
		Random: func(int) int { return 0 },
	})
}

func (n *node) Refuses(r *rule.Rule, c chooser.Choice) (string, time.Duration) {
	switch t := c.Target(); {
	case t == nil:
		return "none", 250 * time.Millisecond
	case t.Gauge().InBackoff(r.Bulk(), n.now):
		return "crowd", 250 * time.Millisecond
	}
	return "", 0
}

const secretKey = "a-key-of-ski"

func newNode() *node {
	n := &node{now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)}
	newTarget := func(name, version string, change func(*gauge.Gauge)) *target.Target {
		centre, _, _ := strings.Cut(name, "-")
		g := gauge.New(n.now.Add(-time.Minute))
		if change != nil {
			change(g)
		}
		return target.New(endpoint.New(endpoint.Fields{
			Address: name, Service: "s", Version: version, DataCentre: centre, Region: centre[:1], Slots: 9, State: endpoint.Ready, Instance: "i-" + name,
		}), g, "a1-own", "a1", "a")
	}
	busy := func(calls int) func(*gauge.Gauge) {
		return func(g *gauge.Gauge) { g.RecordLoad(calls, n.now) }
	}
	pools := map[string]view.Pool{
		"lists": {
			Stable: []*target.Target{
				newTarget("a1-x", "v1", busy(12)), newTarget("a1-y", "v1", busy(3)), newTarget("a2-x", "v1", func(g *gauge.Gauge) { g.Eject(n.now) }),
				newTarget("b1-x", "v1", func(g *gauge.Gauge) {
					g.RecordFailure(n.now)
					g.BackOff(false, n.now.Add(time.Second))
				}),
				newTarget("b1-y", "v1", (*gauge.Gauge).MarkLeaving),
			},
			Candidate: []*target.Target{newTarget("a1-z", "v2", busy(60)), newTarget("a1-w", "v2", busy(90))}, Permille: 200,
		},
		"crowded": {Stable: []*target.Target{newTarget("a1-x", "v1", func(g *gauge.Gauge) { g.BackOff(false, n.now.Add(time.Second)) })}},
	}
	newRule := func(name string, public bool, services ...rule.WeightedService) *rule.Rule {
		return rule.New(rule.Fields{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Public: public, Idempotent: true, Attempts: 2, Priority: 1,
			Objective: 400 * time.Millisecond, Timeout: 2 * time.Second, Services: services,
		})
	}
	p := plan.New(12, plan.Limits{}, nil, []*rule.Rule{
		newRule("lists", false, rule.WeightedService{Service: "lists", Weight: 3}, rule.WeightedService{Service: "empty", Weight: 1}),
		newRule("crowded", true, rule.WeightedService{Service: "crowded", Weight: 1}),
	}).WithTenants([]*tenant.Tenant{tenant.New(tenant.Fields{
		Name: "ski", Priority: 2, RatePerSecond: 129, Burst: 40, KeyHashes: [][]byte{tenant.HashKey(secretKey)},
	})})
	n.view = view.New(p, n.now, pools)
	return n
}

// TestPages guards against EXPLAIN: an explanation that differs from what the node would do, and one that contains a key or
// its hash. The pages are read by ctl/explain, whose test replays the golden file.
func TestPages(t *testing.T) {
	hash := hex.EncodeToString(tenant.HashKey(secretKey))
	n := newNode()
	unconfigured := &node{view: view.New(nil, time.Time{}, nil)}
	var out strings.Builder
	for _, c := range []struct {
		node  *node
		query string
	}{
		{n, "method=GET&host=a.example&path=/lists/1&tenant=ski"},
		{n, "method=GET&host=a.example&path=/lists/1&keyhash=" + hash},
		{n, "method=GET&host=a.example&path=/lists/1"},
		{n, "method=POST&host=a.example&path=/crowded/"},
		{n, "method=GET&host=b.example&path=/lists/1"},
		{n, "method=GET&host=a.example&path=/lists/1&tenant=unknown"},
		{n, "method=GET&host=a.example&path=/lists/1&keyhash=xy"},
		{n, "method=GET&host=a.example"},
		{unconfigured, "method=GET&host=a.example&path=/lists/1"},
	} {
		query, err := url.ParseQuery(c.query)
		if err != nil {
			t.Fatal(err)
		}
		e := &Explainer{views: c.node, forwarder: c.node}
		value, found, err := e.Page("/explain", query)
		if !found {
			t.Fatal("the page is not found")
		}
		if err != nil {
			value = map[string]any{"kind": fault.KindOf(err), "what": err.Error()}
		}
		body, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if s := string(body); strings.Contains(s, hash) || strings.Contains(s, secretKey) {
			t.Errorf("%s: the page contains a key or its hash", c.query)
		}
		fmt.Fprintf(&out, "%s\n%s\n", strings.ReplaceAll(c.query, hash, "{hash}"), body)
	}
	if _, found, _ := (&Explainer{}).Page("/metrics", nil); found {
		t.Error("the part serves the page of another one")
	}
	goldie.New(t).Assert(t, "pages", []byte(out.String()))
}
