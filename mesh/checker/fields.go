package checker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// rules maps the names of an object's allowed fields to functions that check their values.
type rules map[string]func(*node)

// object applies the rules to an object and records unknown, repeated and missing fields as problems.
func (c *check) object(n *node, r rules, required ...string) {
	if !c.kind(n, "object") {
		return
	}
	seen := map[string]bool{}
	for _, f := range n.fields {
		rule, ok := r[f.name]
		switch {
		case !ok:
			c.problems.add(f.value, "is an unknown field", "remove it, or use one of "+fieldNames(r))
		case seen[f.name]:
			c.problems.add(f.value, "is set twice", "remove one of the two")
		default:
			rule(f.value)
		}
		seen[f.name] = true
	}
	for _, name := range required {
		if !seen[name] {
			missing := &node{path: join(n.path, name), offset: n.offset}
			c.problems.add(missing, "is missing", "add it")
		}
	}
}

func fieldNames(r rules) string {
	var ns []string
	for n := range r {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return strings.Join(ns, ", ")
}

// kind reports whether n is of the given JSON kind, and records a problem if not.
func (c *check) kind(n *node, kind string) bool {
	if n.kind == kind {
		return true
	}
	c.problems.add(n, "is "+withArticle(n.kind)+", not "+withArticle(kind), "write "+withArticle(kind))
	return false
}

func withArticle(kind string) string {
	switch kind {
	case "null":
		return kind
	case "object":
		return "an " + kind
	}
	return "a " + kind
}

// stringValue returns the value of a string; if n is not a string, it records a problem and returns false.
func (c *check) stringValue(n *node) (string, bool) {
	if !c.kind(n, "string") {
		return "", false
	}
	s, _ := n.scalar.(string)
	return s, true
}

// list applies the rule to each item of a list.
func (c *check) list(n *node, rule func(*node)) {
	if !c.kind(n, "list") {
		return
	}
	for _, i := range n.items {
		rule(i)
	}
}

// unique records a problem if seen contains the text; otherwise it adds the text with the path of n.
func (c *check) unique(n *node, seen map[string]string, text string) {
	if first, ok := seen[text]; ok {
		c.problems.add(n, fmt.Sprintf("repeats %q of %s", text, first), "remove or rename one of the two")
		return
	}
	seen[text] = n.path
}

// maxLabelBytes is the length of the longest DNS label (RFC 1035).
const maxLabelBytes = 63

// label returns a lower-case DNS label; if n is not one, it records a problem and returns false.
func (c *check) label(n *node) (string, bool) {
	s, ok := c.stringValue(n)
	if !ok {
		return "", false
	}
	if !IsDNSLabel(s) {
		c.problems.add(n, fmt.Sprintf("is %q, which is not a name", shorten(s)),
			"use 1 to 63 of a-z, 0-9 and -, with a letter or digit at both ends")
		return "", false
	}
	return s, true
}

// IsDNSLabel reports whether s is a lower-case DNS label, as names of presets and services must be.
func IsDNSLabel(s string) bool {
	if s == "" || len(s) > maxLabelBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	return containsOnly(s, "abcdefghijklmnopqrstuvwxyz0123456789-")
}

// IsVersion reports whether s can be the version of a service.
func IsVersion(s string) bool {
	const alphanumerics = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	return s != "" && len(s) <= maxLabelBytes && containsOnly(s[:1], alphanumerics) && containsOnly(s, alphanumerics+".-_+")
}

// containsOnly reports whether all characters of s are among the allowed ones, which are ASCII.
func containsOnly(s, allowed string) bool { return strings.Trim(s, allowed) == "" }

// shorten truncates a value for an error message.
func shorten(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

// number records a problem if n is not an integer from lowest to highest.
func (c *check) number(n *node, lowest, highest int64, unit string) {
	if !c.kind(n, "number") {
		return
	}
	v, _ := n.scalar.(json.Number)
	i, err := v.Int64()
	if err != nil || i < lowest || i > highest {
		c.problems.add(n, fmt.Sprintf("is %s", shorten(v.String())),
			fmt.Sprintf("use a whole number of %s from %d to %d", unit, lowest, highest))
	}
}
