package checker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// rules maps the allowed fields of an object to the check of their values.
type rules map[string]func(*node)

// object applies the rules to an object and reports unknown, repeated and missing fields.
func (c *check) object(n *node, r rules, required ...string) {
	if !c.kind(n, "object") {
		return
	}
	seen := map[string]bool{}
	for _, f := range n.fields {
		rule, ok := r[f.name]
		switch {
		case !ok:
			c.problems.add(f.value, "is an unknown field", "remove it, or use one of "+names(r))
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

func names(r rules) string {
	var ns []string
	for n := range r {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return strings.Join(ns, ", ")
}

// kind reports whether n is of the JSON kind and records a problem if not.
func (c *check) kind(n *node, kind string) bool {
	if n.kind == kind {
		return true
	}
	c.problems.add(n, "is "+article(n.kind)+", not "+article(kind), "write "+article(kind))
	return false
}

func article(kind string) string {
	switch kind {
	case "null":
		return kind
	case "object":
		return "an " + kind
	}
	return "a " + kind
}

// text returns the value of a string, and false after recording a problem if n is none.
func (c *check) text(n *node) (string, bool) {
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

// unique records a problem if the text of n was seen before; what names the thing.
func (c *check) unique(n *node, seen map[string]string, text string) {
	if first, ok := seen[text]; ok {
		c.problems.add(n, fmt.Sprintf("repeats %q of %s", text, first), "remove or rename one of the two")
		return
	}
	seen[text] = n.path
}

// labelLimit is the longest DNS label, RFC 1035.
const labelLimit = 63

// label checks a lower-case DNS label and returns it.
func (c *check) label(n *node) (string, bool) {
	s, ok := c.text(n)
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

// IsDNSLabel reports whether s is a lower-case DNS label, as names of presets and services are.
func IsDNSLabel(s string) bool {
	if s == "" || len(s) > labelLimit || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	return only(s, "abcdefghijklmnopqrstuvwxyz0123456789-")
}

// IsVersion reports whether s can be the version of a service.
func IsVersion(s string) bool {
	const first = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	return s != "" && len(s) <= labelLimit && only(s[:1], first) && only(s, first+".-_+")
}

// only reports whether s has no other characters than the allowed ones, which are ASCII.
func only(s, allowed string) bool { return strings.Trim(s, allowed) == "" }

// shorten cuts a value for an error message.
func shorten(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

// number returns an integer between lowest and highest, and false after recording a problem if n is none.
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
