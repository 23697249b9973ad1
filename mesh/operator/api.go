package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/checker"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/report"
)

// reporter is a part that knows the state of the data centres without the store.
type reporter interface {
	// Reports returns the newest report of each data centre that the part has heard of.
	Reports() []report.Report
}

// explainer is a part that routes calls.
type explainer interface {
	// Explain returns, as a value for JSON, which route a call would take and why.
	Explain(method, host, path string, header func(string) string) any
}

// api holds what the operations need; it knows nothing of HTTP servers.
type api struct {
	accepter   *accepter.Accepter
	rollouts   *accepter.Rollouts
	checker    *checker.Checker
	reporters  []reporter
	explainers []explainer
	now        func() time.Time
}

func newAPI(store accepter.Store, now func() time.Time) *api {
	a := accepter.New(store)
	return &api{accepter: a, rollouts: &accepter.Rollouts{Accepter: a, Now: now}, checker: checker.New(), now: now}
}

// request is one request, free of the protocol that carried it.
type request struct {
	method string
	path   string
	query  map[string][]string
	body   []byte
	writer string
	name   string // what stands for * in the pattern
}

// first returns the first value of a query key, or the empty string.
func (r request) first(key string) string {
	if len(r.query[key]) == 0 {
		return ""
	}
	return r.query[key][0]
}

// operation answers one kind of request with a value for JSON.
type operation func(*api, context.Context, request) (any, error)

type entry struct {
	method  string
	pattern []string
	run     operation
}

// entries is filled by init functions only and is read after them, so it needs no lock.
var entries []entry

// handle adds an operation; one segment of the pattern may be *, which stands for a name.
func handle(method, pattern string, run operation) {
	entries = append(entries, entry{method: method, pattern: strings.Split(pattern, "/"), run: run})
}

// handle runs the operation that matches the request.
func (a *api) handle(ctx context.Context, r request) (any, error) {
	segments := strings.Split(r.path, "/")
	var allowed []string
	for _, e := range entries {
		name, ok := matches(e.pattern, segments)
		if !ok {
			continue
		}
		if e.method != r.method {
			allowed = append(allowed, e.method)
			continue
		}
		if name != "" && !checker.IsDNSLabel(name) {
			return nil, fault.New(fault.Invalid, fmt.Sprintf("%q is not a name", name), "use 1 to 63 of a-z, 0-9 and -, with a letter or digit at both ends")
		}
		r.name = name
		return e.run(a, ctx, r)
	}
	if len(allowed) > 0 {
		slices.Sort(allowed)
		return nil, fault.New(fault.Invalid, r.path+" does not take "+r.method, "use "+strings.Join(allowed, " or "))
	}
	return nil, fault.New(fault.NotFound, fmt.Sprintf("the path %q is unknown", r.path), "use a wisteriaspoke of the same version as the node")
}

func matches(pattern, segments []string) (name string, ok bool) {
	if len(pattern) != len(segments) {
		return "", false
	}
	for i, p := range pattern {
		switch {
		case p == "*" && segments[i] != "":
			name = segments[i]
		case p != segments[i]:
			return "", false
		}
	}
	return name, true
}
