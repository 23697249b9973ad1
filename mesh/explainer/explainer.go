package explainer

import (
	"cmp"
	"context"
	"encoding/hex"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("explainer", 62, func() kernel.Part { return &Explainer{} })
}

// path is the path of the page.
const path = "/explain"

// viewSource provides the configuration and endpoints for routing.
type viewSource interface {
	// View returns the current state.
	View() *view.View
}

// forwarder decides on requests.
type forwarder interface {
	// ExplainChoice returns the choice that the first send of a request would make now.
	ExplainChoice(r *rule.Rule, targets []*target.Target) chooser.Explanation
	// Refuses returns the reason why a request is refused after the choice and when it may be sent again, or no reason.
	Refuses(r *rule.Rule, c chooser.Choice) (reason string, retryAfter time.Duration)
	// ExpectedServiceTime returns the expected service time of the rule's calls.
	ExpectedServiceTime(r *rule.Rule) time.Duration
	// LongestWait returns how long a request may wait for a slot of the endpoint to meet its objective.
	LongestWait(r *rule.Rule, t *target.Target) time.Duration
	// RetryBalance returns how many retries of calls to the service this node may send now.
	RetryBalance(service string) int
}

// Explainer explains requests from the published view.
type Explainer struct {
	views     viewSource
	forwarder forwarder
}

// Start looks up the parts that the explainer uses.
func (e *Explainer) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if e.views, err = kernel.Need[viewSource](k); err != nil {
		return nil, err
	}
	e.forwarder, err = kernel.Need[forwarder](k)
	return nil, err
}

// Page returns the explanation of the request in the query: method, host and path, and either tenant (a name) or keyhash
// (hexadecimal). A key itself is not accepted.
func (e *Explainer) Page(page string, query url.Values) (value any, found bool, err error) {
	if page != path {
		return nil, false, nil
	}
	if query.Get("method") == "" || query.Get("host") == "" || query.Get("path") == "" {
		remedy := "name all three, for example ?method=GET&host=a.example&path=/"
		return nil, true, fault.New(fault.Invalid, "method, host or path is missing", remedy)
	}
	a := &explanation{Method: query.Get("method"), Host: query.Get("host"), Path: query.Get("path")}
	a.Services, a.Refusals = []serviceOutlook{}, []refusal{}
	return a, true, e.explain(a, query.Get("tenant"), query.Get("keyhash"))
}

// explain completes the explanation.
func (e *Explainer) explain(a *explanation, tenantName, keyHash string) error {
	v := e.views.View()
	if v == nil || v.Plan() == nil {
		a.refuse(http.StatusServiceUnavailable, "no configuration is known yet", time.Second)
		return nil
	}
	p := v.Plan()
	a.Version = p.Version()
	t, err := findTenant(p, tenantName, keyHash)
	if err != nil {
		return err
	}
	if t != nil {
		a.Tenant = &tenantOutlook{Name: t.Name(), Priority: t.Priority(), RatePerSecond: t.RatePerSecond(), Burst: t.Burst()}
	}
	r := p.Match(a.Host, a.Path)
	if r == nil {
		a.refuse(http.StatusNotFound, "no route matches", 0)
		return nil
	}
	a.Rule = newRuleOutlook(r)
	a.KeyRequired = len(p.Tenants()) > 0 && !r.Public()
	if a.KeyRequired && t == nil {
		a.refuse(http.StatusUnauthorized, "no tenant has the request's key", 0)
	}
	a.ExpectedServiceTime = milliseconds(e.forwarder.ExpectedServiceTime(r))
	for _, s := range r.Services() {
		a.Services = append(a.Services, e.service(a, v, r, s))
	}
	return nil
}

// findTenant returns the tenant with the name or with the hash of a key; nil if neither is given or no tenant has the hash.
func findTenant(p *plan.Plan, name, keyHash string) (*tenant.Tenant, error) {
	if name != "" {
		if i := slices.IndexFunc(p.Tenants(), func(t *tenant.Tenant) bool { return t.Name() == name }); i >= 0 {
			return p.Tenants()[i], nil
		}
		return nil, fault.New(fault.NotFound, "the configuration has no tenant of that name", "check the name")
	}
	hash, err := hex.DecodeString(keyHash)
	if err != nil {
		return nil, fault.New(fault.Invalid, "keyhash is not hexadecimal", "pass the first 16 bytes of the key's SHA-256")
	}
	return p.TenantByKeyHash(hash), nil
}

// service returns what would happen to a request for the service, for each version that gets requests.
func (e *Explainer) service(a *explanation, v *view.View, r *rule.Rule, s rule.WeightedService) serviceOutlook {
	pool := v.Pool(s.Service)
	o := serviceOutlook{Name: s.Service, Weight: s.Weight, Retries: e.forwarder.RetryBalance(s.Service)}
	permille := pool.Permille
	switch {
	case len(pool.Candidate) == 0:
		permille = 0
	case permille > 0 && len(pool.Stable) == 0:
		permille = share.FullPermille
	}
	if permille < share.FullPermille {
		o.Versions = append(o.Versions, e.version(a, r, s.Service, share.FullPermille-permille, pool.Stable))
	}
	if permille > 0 {
		o.Versions = append(o.Versions, e.version(a, r, s.Service, permille, pool.Candidate))
	}
	return o
}

// version returns the choice among the endpoints of one version.
func (e *Explainer) version(a *explanation, r *rule.Rule, service string, permille int, targets []*target.Target) versionOutlook {
	x := e.forwarder.ExplainChoice(r, targets)
	c := x.Choice()
	o := versionOutlook{Permille: permille, Candidates: []candidate{}}
	for i, t := range targets {
		o.Version = t.Endpoint().Version()
		s, considered := x.Score(i)
		o.Candidates = append(o.Candidates, newCandidate(t, s, considered, t == c.Target()))
	}
	slices.SortStableFunc(o.Candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Node, b.Node))
	})
	if reason, retryAfter := e.forwarder.Refuses(r, c); reason != "" {
		a.refuse(http.StatusServiceUnavailable, strings.TrimSpace(service+" "+o.Version)+": "+reason, retryAfter)
	}
	t := c.Target()
	if t == nil {
		return o
	}
	o.Chosen, o.ExpectedWait = t.Endpoint().Address(), milliseconds(c.ExpectedWait())
	o.LongestWait = max(0, milliseconds(e.forwarder.LongestWait(r, t)))
	if !c.NoAlternative() {
		o.LongestWait = min(o.LongestWait, milliseconds(c.MaxWait()))
	}
	if o.ExpectedWait > 0 && o.ExpectedWait > o.LongestWait {
		reason := service + " " + o.Version + ": the wait at " + o.Chosen + " is too long; others are tried"
		a.refuse(http.StatusServiceUnavailable, reason, c.ExpectedWait())
	}
	return o
}

// rank returns the place of the chosen candidate before those considered, and of these before the others.
func rank(c candidate) int {
	switch {
	case c.Chosen:
		return 0
	case !c.Leaving:
		return 1
	}
	return 2
}
