package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/service"
)

// Limits of a preset. The definition bounds what a node reads for one change; the manifest is the store's largest value.
const (
	servicesLimit   = 2000
	routesLimit     = 200
	definitionLimit = 64 << 10
	manifestLimit   = 1 << 20
)

// The range of a timeout, in milliseconds.
const (
	shortestTimeout = 1
	longestTimeout  = int64(10 * time.Minute / time.Millisecond)
)

// Checker checks preset files; its limits are set before use.
type Checker struct {
	MaxServices        int // services of a preset
	MaxRoutes          int // routes of a service
	MaxDefinitionBytes int // bytes of an encoded definition
	MaxManifestBytes   int // bytes of an encoded manifest
}

// New returns a checker with the limits of the store and the nodes.
func New() *Checker {
	return &Checker{MaxServices: servicesLimit, MaxRoutes: routesLimit, MaxDefinitionBytes: definitionLimit, MaxManifestBytes: manifestLimit}
}

// check is one run over one file.
type check struct {
	*Checker
	problems problems
	declared map[string]string // service → path of its name
	needs    []need
	routes   map[string][]match
}

type need struct {
	node    *node
	service string
}

// Check returns the preset in a file, or all errors of the file joined, each of kind Invalid.
func (c *Checker) Check(data []byte) (preset.Preset, error) {
	run := &check{Checker: c, problems: problems{data: data}, declared: map[string]string{}, routes: map[string][]match{}}
	root, err := parse(data)
	if err != nil {
		return preset.Preset{}, run.syntax(err)
	}
	if !utf8.Valid(data) {
		run.problems.add(root, "is not valid UTF-8", "save it as UTF-8")
	}
	run.preset(root)
	if err := run.problems.err(); err != nil {
		return preset.Preset{}, err
	}
	return run.build(root)
}

// syntax returns the one error of a file that is no JSON; nothing else can be said of it.
func (c *check) syntax(err error) error {
	at := int64(0)
	var s *json.SyntaxError
	if errors.As(err, &s) {
		// The offset counts the bytes read, the last of which is the wrong one.
		at = max(s.Offset-1, 0)
	}
	line, column := place(c.problems.data, at)
	what := fmt.Sprintf("line %d, column %d: the file is not a preset: %v", line, column, err)
	return fault.New(fault.Invalid, what, "correct the JSON there")
}

func (c *check) preset(root *node) {
	c.object(root, rules{
		"name":     func(n *node) { c.label(n) },
		"services": c.services,
	}, "name", "services")
	for _, d := range c.needs {
		if _, ok := c.declared[d.service]; !ok {
			c.problems.add(d.node, fmt.Sprintf("names %q, which the preset does not declare", d.service),
				"declare the service or remove the dependency")
		}
	}
}

func (c *check) services(n *node) {
	if n.kind == "list" && len(n.items) == 0 {
		c.problems.add(n, "is empty", "declare at least one service, as a preset without any would stop all calls")
	}
	if len(n.items) > c.MaxServices {
		c.problems.add(n, fmt.Sprintf("has %d services", len(n.items)), fmt.Sprintf("declare at most %d", c.MaxServices))
		return
	}
	c.list(n, c.service)
}

func (c *check) service(n *node) {
	c.object(n, rules{
		"name": func(n *node) {
			if name, ok := c.label(n); ok {
				c.unique(n, c.declared, name)
			}
		},
		"version": c.version,
		"depends": c.depends,
		"timeout": c.timeout,
		"routes":  c.routeList,
	}, "name", "version")
}

func (c *check) version(n *node) {
	if s, ok := c.text(n); ok && !IsVersion(s) {
		c.problems.add(n, fmt.Sprintf("is %q, which is not a version", shorten(s)),
			"use 1 to 63 letters, digits and . - _ +, with a letter or digit first")
	}
}

func (c *check) depends(n *node) {
	seen := map[string]string{}
	c.list(n, func(n *node) {
		if name, ok := c.label(n); ok {
			c.unique(n, seen, name)
			c.needs = append(c.needs, need{node: n, service: name})
		}
	})
}

func (c *check) timeout(n *node) { c.number(n, shortestTimeout, longestTimeout, "milliseconds") }

// build decodes the checked file; only sizes can still be wrong.
func (c *check) build(root *node) (preset.Preset, error) {
	var file struct {
		Name     string            `json:"name"`
		Services []service.Service `json:"services"`
	}
	if err := json.Unmarshal(c.problems.data, &file); err != nil {
		return preset.Preset{}, c.syntax(err)
	}
	p, err := preset.New(file.Name, file.Services)
	if err != nil {
		return preset.Preset{}, fault.Wrap(fault.Invalid, err, "the preset cannot be encoded", "report this as a fault of the program")
	}
	c.sizes(root, p)
	if err := c.problems.err(); err != nil {
		return preset.Preset{}, err
	}
	return p, nil
}

func (c *check) sizes(root *node, p preset.Preset) {
	nodes := member(root, "services").items
	for i, s := range p.Services() {
		size := len(p.EncodedDefinitions()[p.DefinitionDigests()[s.Name()]])
		if size > c.MaxDefinitionBytes {
			c.problems.add(nodes[i], fmt.Sprintf("has %d bytes when stored", size),
				fmt.Sprintf("split the service or shorten it to %d bytes", c.MaxDefinitionBytes))
		}
	}
	data, err := json.Marshal(p.DefinitionDigests())
	if err != nil || len(data) > c.MaxManifestBytes {
		c.problems.add(root, fmt.Sprintf("has a manifest of %d bytes", len(data)),
			fmt.Sprintf("declare fewer services or shorten their names to reach %d bytes", c.MaxManifestBytes))
	}
}

// member returns the value of an object's field, or an empty node.
func member(n *node, name string) *node {
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return &node{}
}
