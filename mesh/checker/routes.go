package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"wisteriaspoke.example/mesh/route"
)

// maxPathBytes and maxHostBytes limit what a router compares for each call; 253 is the length of the longest DNS name.
const (
	maxPathBytes = 1024
	maxHostBytes = 253
)

// validMethods are the methods that a route can match. CONNECT is not among them, as it requests a tunnel instead of a
// response.
var validMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"}

// routeMatch holds the conditions by which a route matches calls.
type routeMatch struct {
	node    *node
	host    string
	path    string
	methods []string
	headers map[string]string // lower-case names
}

func (c *check) routeList(n *node) {
	if len(n.items) > c.MaxRoutes {
		c.problems.add(n, fmt.Sprintf("has %d routes", len(n.items)), fmt.Sprintf("declare at most %d", c.MaxRoutes))
		return
	}
	seen := map[string]string{}
	c.list(n, func(n *node) { c.route(n, seen) })
}

func (c *check) route(n *node, seen map[string]string) {
	before := len(c.problems.list)
	m := routeMatch{node: n}
	c.object(n, rules{
		"name": func(n *node) {
			if name, ok := c.label(n); ok {
				c.unique(n, seen, name)
			}
		},
		"host":       func(n *node) { m.host = c.host(n) },
		"path":       func(n *node) { m.path = c.path(n) },
		"methods":    func(n *node) { m.methods = c.methods(n) },
		"headers":    func(n *node) { m.headers = c.headers(n) },
		"tenant":     func(n *node) { c.label(n) },
		"class":      c.class,
		"idempotent": func(n *node) { c.kind(n, "boolean") },
		"timeout":    c.timeout,
	}, "name", "path")
	// The conditions of a route with errors may change when it is corrected.
	if len(c.problems.list) == before {
		c.checkAmbiguity(m)
	}
}

func (c *check) host(n *node) string {
	s, ok := c.stringValue(n)
	if !ok {
		return ""
	}
	for l := range strings.SplitSeq(s, ".") {
		if !IsDNSLabel(l) || len(s) > maxHostBytes {
			c.problems.add(n, fmt.Sprintf("is %q, which is not a host", shorten(s)),
				"use lower-case DNS labels joined by dots, without a port, or leave it out to match all hosts")
			return ""
		}
	}
	return s
}

func (c *check) path(n *node) string {
	s, ok := c.stringValue(n)
	if !ok {
		return ""
	}
	switch {
	case !strings.HasPrefix(s, "/"):
		c.problems.add(n, fmt.Sprintf("is %q, which does not start with a slash", shorten(s)), fmt.Sprintf("write %q", shorten("/"+s)))
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }):
		c.problems.add(n, fmt.Sprintf("is %q, which has a character that no path has", shorten(s)),
			"use printable ASCII without spaces, ? and #, and percent-encode the rest")
	case len(s) > maxPathBytes:
		c.problems.add(n, fmt.Sprintf("has %d bytes", len(s)), fmt.Sprintf("shorten it to %d", maxPathBytes))
	}
	return s
}

func (c *check) methods(n *node) []string {
	if n.kind == "list" && len(n.items) == 0 {
		c.problems.add(n, "is empty", "name a method, or leave the field out to match all methods")
	}
	seen := map[string]string{}
	var all []string
	c.list(n, func(n *node) {
		s, ok := c.stringValue(n)
		if !ok {
			return
		}
		if !slices.Contains(validMethods, s) {
			c.problems.add(n, fmt.Sprintf("is %q, which is not a method", shorten(s)), "use one of "+strings.Join(validMethods, ", "))
			return
		}
		c.unique(n, seen, s)
		all = append(all, s)
	})
	return all
}

func (c *check) headers(n *node) map[string]string {
	if !c.kind(n, "object") {
		return nil
	}
	all := map[string]string{}
	for _, f := range n.fields {
		name := strings.ToLower(f.name)
		if _, ok := all[name]; ok {
			c.problems.add(f.value, "is set twice, as the case of a header's name does not matter", "remove one of the two")
		}
		c.headerName(f.value, name)
		value, ok := c.stringValue(f.value)
		if ok && (value != strings.Trim(value, " ") || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r >= 0x7f })) {
			c.problems.add(f.value, fmt.Sprintf("is %q, which is not a header's value", shorten(value)),
				"use printable ASCII without spaces at the ends")
		}
		all[name] = value
	}
	return all
}

func (c *check) headerName(n *node, name string) {
	const token = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~" // RFC 9110, section 5.6.2
	switch {
	case name == "" || !containsOnly(name, token):
		c.problems.add(n, "is not the name of a header", "use letters, digits and -")
	case strings.HasPrefix(name, "wisteriaspoke-"):
		c.problems.add(n, "is a header of the mesh itself, which outside calls cannot set", "match another header")
	}
}

func (c *check) class(n *node) {
	s, ok := c.stringValue(n)
	if ok && s != string(route.High) && s != string(route.Normal) {
		c.problems.add(n, fmt.Sprintf("is %q, which is not a class", shorten(s)), "use high or normal")
	}
}

// checkAmbiguity records a problem if another route of the preset matches the same calls with the same precedence.
func (c *check) checkAmbiguity(m routeMatch) {
	// A router compares whole segments, so a trailing slash makes no difference.
	key := m.host + " " + strings.TrimRight(m.path, "/")
	for _, o := range c.routes[key] {
		if maps.Equal(o.headers, m.headers) && methodsOverlap(o.methods, m.methods) {
			c.problems.add(m.node, "matches the same calls as "+o.node.path, "change the host, path, methods or headers of one of the two")
			break
		}
	}
	c.routes[key] = append(c.routes[key], m)
}

// methodsOverlap reports whether a method is in both lists or both are empty. A route with methods has precedence over
// one without, so these two are not ambiguous.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}
