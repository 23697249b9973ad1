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

// reporter is a part that provides the state of the data centres without reading the store.
type reporter interface {
	// Reports returns the newest report of each data centre from which one has been received.
	Reports() []report.Report
}

// explainer is a part that explains how calls are routed.
type explainer interface {
	// Explain returns, as a value that can be encoded as JSON, which route a call would match and why.
	Explain(method, host, path string, header func(string) string) any
}

// api implements the operations of the API; it does not depend on the HTTP server.
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

// request is an API request without the details of HTTP.
type request struct {
	method string
	path   string
	query  map[string][]string
	body   []byte
	writer string
	name   string // the segment that matches * in the pattern
}

// queryValue returns the first value of a query key, or the empty string.
func (r request) queryValue(key string) string {
	if len(r.query[key]) == 0 {
		return ""
	}
	return r.query[key][0]
}

// operation runs a request and returns a value that can be encoded as JSON.
type operation func(*api, context.Context, request) (any, error)

type apiRoute struct {
	method  string
	pattern []string
	run     operation
}

// apiRoutes is filled by init functions only and is read after them, so it needs no lock.
var apiRoutes []apiRoute

// addRoute registers an operation; one segment of the pattern may be *, which matches a name.
func addRoute(method, pattern string, run operation) {
	apiRoutes = append(apiRoutes, apiRoute{method: method, pattern: strings.Split(pattern, "/"), run: run})
}

// handle runs the operation whose method and pattern match the request.
func (a *api) handle(ctx context.Context, r request) (any, error) {
	segments := strings.Split(r.path, "/")
	var allowed []string
	for _, e := range apiRoutes {
		name, ok := matchPattern(e.pattern, segments)
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

func matchPattern(pattern, segments []string) (name string, ok bool) {
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
