package checker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxDepth limits the nesting of the input, and so the recursion; a preset needs a depth of 6.
const maxDepth = 20

// node is one JSON value with its position in the file, which encoding/json does not record.
type node struct {
	path   string
	offset int64  // of the value's first byte
	scalar any    // string, json.Number, bool or nil
	kind   string // "object", "list", "string", "number", "boolean" or "null"
	fields []field
	items  []*node
}

type field struct {
	name  string
	value *node
}

// parse returns the tree of a file with exactly one JSON value; the offset of a *json.SyntaxError is that in the file.
func parse(data []byte) (*node, error) {
	// Offsets in syntax errors are relative to a value if they come from a Decoder, and relative to the file if they come
	// from Unmarshal.
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	p := &parser{data: data, decoder: d}
	return p.value("", 0)
}

type parser struct {
	data    []byte
	decoder *json.Decoder
}

// start returns the offset of the next token; the decoder's own offset is the end of the previous token.
func (p *parser) start() int64 {
	i := p.decoder.InputOffset()
	for i < int64(len(p.data)) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[i]) >= 0 {
		i++
	}
	return i
}

var errDepth = errors.New("the values are nested too deeply")

func (p *parser) value(path string, depth int) (*node, error) {
	n := &node{path: path, offset: p.start()}
	if depth > maxDepth {
		return nil, errDepth
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			err = p.object(n, depth)
		} else {
			err = p.list(n, depth)
		}
	case string:
		n.kind, n.scalar = "string", t
	case json.Number:
		n.kind, n.scalar = "number", t
	case bool:
		n.kind, n.scalar = "boolean", t
	default:
		n.kind = "null"
	}
	return n, err
}

func (p *parser) object(n *node, depth int) error {
	n.kind = "object"
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		v, err := p.value(join(n.path, name), depth+1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name: name, value: v})
	}
	_, err := p.decoder.Token()
	return err
}

func (p *parser) list(n *node, depth int) error {
	n.kind = "list"
	for p.decoder.More() {
		v, err := p.value(fmt.Sprintf("%s[%d]", n.path, len(n.items)), depth+1)
		if err != nil {
			return err
		}
		n.items = append(n.items, v)
	}
	_, err := p.decoder.Token()
	return err
}

func join(path, name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '.' || !strconv.IsPrint(r) }) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// position returns the line and column of an offset; both count from 1, and columns count bytes.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(max(offset, 0), int64(len(data)))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
