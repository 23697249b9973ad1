package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/report"
)

func init() {
	addRoute("GET", "/v1/status", (*api).status)
	addRoute("GET", "/v1/endpoints", (*api).endpoints)
	addRoute("GET", "/v1/explain", (*api).explain)
}

// storeTimeout is how long a status request waits for the store before it is answered from the reports that this node
// has received.
const storeTimeout = 2 * time.Second

// Sources of a status.
const (
	sourceStore = "store"
	sourceNode  = "node" // the store is unavailable; the reports are those that this node has received
)

// statusAnswer is the answer to a status request; ages are in milliseconds.
type statusAnswer struct {
	Source  string         `json:"source"`
	Preset  string         `json:"preset"`
	Version uint64         `json:"version"`
	Reports []centreStatus `json:"reports"`
}

// centreStatus is the state of one data centre, as reported by one of its relays: the nodes that receive new versions
// from the store and send them to the other nodes of the data centre.
type centreStatus struct {
	Name     string           `json:"centre"`
	Age      int64            `json:"age"`                // since the report was created
	StoreAge int64            `json:"stored"`             // since the store confirmed the newest version to the relay
	Newest   uint64           `json:"newest"`             // highest version that the relay has received
	Nodes    map[uint64]int   `json:"nodes"`              // number of nodes by version in force
	Laggards []report.Laggard `json:"laggards,omitempty"` // nodes behind the newest version, at most 20
	Error    string           `json:"error,omitempty"`    // why the report cannot be decoded; then only Name is set too
}

func (a *api) status(ctx context.Context, _ request) (any, error) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := a.storedStatus(limited)
	if err != nil {
		if fault.KindOf(err) != fault.Unavailable || len(a.reporters) == 0 {
			return nil, err
		}
		s = a.localStatus()
	}
	slices.SortFunc(s.Reports, func(a, b centreStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

// storedStatus returns the status from the store, which the accepter reads. The head is the stored object that names
// the configuration in force.
func (a *api) storedStatus(ctx context.Context) (statusAnswer, error) {
	h, err := a.accepter.ReadHead(ctx)
	if err != nil {
		return statusAnswer{}, err
	}
	objects, err := a.accepter.List(ctx, report.Plural)
	if err != nil {
		return statusAnswer{}, err
	}
	s := statusAnswer{Source: sourceStore, Preset: h.Preset(), Version: h.Version(), Reports: []centreStatus{}}
	for _, o := range objects {
		var r report.Report
		if err := json.Unmarshal(o.Spec(), &r); err != nil {
			s.Reports = append(s.Reports, centreStatus{Name: o.Name(), Error: err.Error()})
			continue
		}
		s.Reports = append(s.Reports, a.centreStatus(r))
	}
	return s, nil
}

func (a *api) centreStatus(r report.Report) centreStatus {
	now := a.now()
	return centreStatus{
		Name: r.DataCentre(), Age: now.Sub(r.At()).Milliseconds(), StoreAge: now.Sub(r.ConfirmedAt()).Milliseconds(),
		Newest: r.Newest(), Nodes: r.NodesByVersion(), Laggards: r.Laggards(),
	}
}

// localStatus returns the status from the reports that this node has received; its version is the newest version in
// them, and its preset is empty, as reports do not contain it. It uses the first reporter; a node has at most one.
func (a *api) localStatus() statusAnswer {
	s := statusAnswer{Source: sourceNode, Reports: []centreStatus{}}
	for _, r := range a.reporters[0].Reports() {
		s.Version = max(s.Version, r.Newest())
		s.Reports = append(s.Reports, a.centreStatus(r))
	}
	return s
}

// endpoints returns the stored endpoints of all services, or of the one in the query.
func (a *api) endpoints(ctx context.Context, r request) (any, error) {
	objects, err := a.accepter.List(ctx, "endpoints")
	if err != nil {
		return nil, err
	}
	all := []group.Group{}
	for _, o := range objects {
		var g group.Group
		if err := json.Unmarshal(o.Spec(), &g); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "endpoints/"+o.Name()+" is malformed", "delete the object; a relay writes it again")
		}
		if s := r.queryValue("service"); s == "" || s == g.Service() {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b group.Group) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.DataCentre(), b.DataCentre()))
	})
	return map[string]any{"groups": all}, nil
}

// explain asks the node's explainer how the call in the query would be routed; a node has at most one.
func (a *api) explain(_ context.Context, r request) (any, error) {
	if len(a.explainers) == 0 {
		return nil, fault.New(fault.NotFound, "this node does not route calls", "ask a node that runs the call path")
	}
	headers := map[string]string{}
	for _, h := range r.query["header"] {
		name, value, ok := strings.Cut(h, "=")
		if !ok || name == "" {
			return nil, fault.New(fault.Invalid, fmt.Sprintf("header is %q", h), "write NAME=VALUE")
		}
		headers[strings.ToLower(name)] = value
	}
	method := r.queryValue("method")
	if method == "" {
		method = "GET"
	}
	return a.explainers[0].Explain(method, r.queryValue("host"), r.queryValue("path"), func(name string) string { return headers[strings.ToLower(name)] }), nil
}
