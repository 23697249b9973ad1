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

// Limits of a preset. The size of a definition limits what a node reads for one change; a manifest can be as large as
// the largest value that the store accepts.
const (
	maxServices        = 2000
	maxRoutes          = 200
	maxDefinitionBytes = 64 << 10
	maxManifestBytes   = 1 << 20
)

// The range of a timeout in a definition.
const (
	minTimeoutMillis = 1
	maxTimeoutMillis = int64(10 * time.Minute / time.Millisecond)
)

// Checker validates preset files; its limits are set before use.
type Checker struct {
	MaxServices        int // per preset
	MaxRoutes          int // per service
	MaxDefinitionBytes int // of the encoded definition
	MaxManifestBytes   int // of the encoded manifest
}

// New returns a checker with the limits that the store and the nodes need.
func New() *Checker {
	return &Checker{MaxServices: maxServices, MaxRoutes: maxRoutes, MaxDefinitionBytes: maxDefinitionBytes, MaxManifestBytes: maxManifestBytes}
}

// check is the state of the validation of one file.
type check struct {
	*Checker
	problems     problems
	declared     map[string]string // path of the name field by service
	dependencies []dependency
	routes       map[string][]routeMatch
}

type dependency struct {
	node    *node
	service string
}

// Check returns the preset in a file, or all errors of the file joined, each of kind Invalid.
func (c *Checker) Check(data []byte) (preset.Preset, error) {
	run := &check{Checker: c, problems: problems{data: data}, declared: map[string]string{}, routes: map[string][]routeMatch{}}
	root, err := parse(data)
	if err != nil {
		return preset.Preset{}, run.syntaxError(err)
	}
	if !utf8.Valid(data) {
		run.problems.add(root, "is not valid UTF-8", "save it as UTF-8")
	}
	run.preset(root)
	if err := run.problems.err(); err != nil {
		return preset.Preset{}, err
	}
	return run.decode(root)
}

// syntaxError returns the only error of a file that is not valid JSON, as it cannot be validated further.
func (c *check) syntaxError(err error) error {
	at := int64(0)
	var s *json.SyntaxError
	if errors.As(err, &s) {
		// The offset is the number of bytes read; the last of them is the invalid one.
		at = max(s.Offset-1, 0)
	}
	line, column := position(c.problems.data, at)
	message := fmt.Sprintf("line %d, column %d: the file is not a preset: %v", line, column, err)
	return fault.New(fault.Invalid, message, "correct the JSON there")
}

func (c *check) preset(root *node) {
	c.object(root, rules{
		"name":     func(n *node) { c.label(n) },
		"services": c.services,
	}, "name", "services")
	for _, d := range c.dependencies {
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
	if s, ok := c.stringValue(n); ok && !IsVersion(s) {
		c.problems.add(n, fmt.Sprintf("is %q, which is not a version", shorten(s)),
			"use 1 to 63 letters, digits and . - _ +, with a letter or digit first")
	}
}

func (c *check) depends(n *node) {
	seen := map[string]string{}
	c.list(n, func(n *node) {
		if name, ok := c.label(n); ok {
			c.unique(n, seen, name)
			c.dependencies = append(c.dependencies, dependency{node: n, service: name})
		}
	})
}

func (c *check) timeout(n *node) { c.number(n, minTimeoutMillis, maxTimeoutMillis, "milliseconds") }

// decode decodes the validated file and checks the encoded sizes, which cannot be checked earlier.
func (c *check) decode(root *node) (preset.Preset, error) {
	var file struct {
		Name     string            `json:"name"`
		Services []service.Service `json:"services"`
	}
	if err := json.Unmarshal(c.problems.data, &file); err != nil {
		return preset.Preset{}, c.syntaxError(err)
	}
	p, err := preset.New(file.Name, file.Services)
	if err != nil {
		return preset.Preset{}, fault.Wrap(fault.Invalid, err, "the preset cannot be encoded", "report this as a fault of the program")
	}
	c.checkSizes(root, p)
	if err := c.problems.err(); err != nil {
		return preset.Preset{}, err
	}
	return p, nil
}

func (c *check) checkSizes(root *node, p preset.Preset) {
	nodes := fieldValue(root, "services").items
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

// fieldValue returns the value of an object's field, or an empty node.
func fieldValue(n *node, name string) *node {
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return &node{}
}
