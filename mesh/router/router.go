package router

import (
	"slices"
	"strings"

	"wisteriaspoke.example/mesh/route"
	"wisteriaspoke.example/mesh/service"
)

// maxHostBytes is the longest HTTP host that can match, the limit of a DNS name.
const maxHostBytes = 253

// Table is an immutable index of the routes of all services of one configuration.
type Table struct {
	hosts   map[string]prefixes
	anyHost prefixes
}

// prefixes holds the routes of one HTTP host by path prefix without a trailing slash; the root is the empty string.
type prefixes struct {
	entries map[string][]entry
	// depth is the largest number of segments in a prefix. It limits the lookups for a path with many segments.
	depth int
}

type entry struct {
	route   route.Route
	service service.Service
	methods []string
	headers []header
}

type header struct {
	name, value string
}

// New returns the table of the routes of the services.
func New(services map[string]service.Service) *Table {
	t := &Table{hosts: map[string]prefixes{}, anyHost: prefixes{entries: map[string][]entry{}}}
	for _, s := range services {
		for _, r := range s.Routes() {
			t.add(s, r)
		}
	}
	for _, p := range t.hosts {
		p.sort()
	}
	t.anyHost.sort()
	return t
}

func (t *Table) add(s service.Service, r route.Route) {
	e := entry{route: r, service: s, methods: r.Methods()}
	for n, v := range r.Headers() {
		e.headers = append(e.headers, header{name: n, value: v})
	}
	p := t.anyHost
	host := strings.ToLower(r.Host())
	if host != "" {
		var exists bool
		if p, exists = t.hosts[host]; !exists {
			p = prefixes{entries: map[string][]entry{}}
		}
	}
	path := strings.TrimRight(r.PathPrefix(), "/")
	p.entries[path] = append(p.entries[path], e)
	p.depth = max(p.depth, strings.Count(path, "/"))
	if host == "" {
		t.anyHost = p
		return
	}
	t.hosts[host] = p
}

// sort puts the more specific entries of each prefix first: those with methods, then those with more headers. Names
// break ties, so that all nodes choose the same route.
func (p prefixes) sort() {
	for _, es := range p.entries {
		slices.SortFunc(es, func(a, b entry) int {
			if d := boolean(len(b.methods) > 0) - boolean(len(a.methods) > 0); d != 0 {
				return d
			}
			if d := len(b.headers) - len(a.headers); d != 0 {
				return d
			}
			if d := strings.Compare(a.service.Name(), b.service.Name()); d != 0 {
				return d
			}
			return strings.Compare(a.route.Name(), b.route.Name())
		})
	}
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Match returns the most specific route for a request and its service, or false if there is none.
//
// host may include a port, and path a query. Routes of the host precede those for any host; among them, the longest
// path prefix wins. Match does not allocate.
func (t *Table) Match(host, path, method string, header func(name string) string) (route.Route, service.Service, bool) {
	var buffer [maxHostBytes]byte
	path = withoutQuery(path)
	if name, ok := toLower(buffer[:], withoutPort(host)); ok {
		if e := t.hosts[string(name)].match(path, method, header); e != nil {
			return e.route, e.service, true
		}
	}
	if e := t.anyHost.match(path, method, header); e != nil {
		return e.route, e.service, true
	}
	return route.Route{}, service.Service{}, false
}

func (p prefixes) match(path, method string, header func(string) string) *entry {
	if len(p.entries) == 0 {
		return nil
	}
	path = truncateSegments(path, p.depth)
	for {
		es := p.entries[path]
		for i := range es {
			if es[i].matches(method, header) {
				return &es[i]
			}
		}
		if path == "" {
			return nil
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
}

func (e *entry) matches(method string, header func(string) string) bool {
	if len(e.methods) > 0 && !slices.Contains(e.methods, method) {
		return false
	}
	for _, h := range e.headers {
		if header(h.name) != h.value {
			return false
		}
	}
	return true
}

// truncateSegments returns the path up to the slash that follows n segments, or all of it.
func truncateSegments(path string, n int) string {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if n == 0 {
			return path[:i]
		}
		n--
	}
	return path
}

func withoutQuery(path string) string {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		return path[:i]
	}
	return path
}

// withoutPort returns the host of "host:port" and of "[address]:port", or the argument if it has no port.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.IndexByte(host[i:], ']') >= 0 || (host[0] != '[' && strings.IndexByte(host, ':') != i) {
		return host
	}
	return host[:i]
}

// toLower writes the lower-case host to the buffer; false means that it is too long.
func toLower(buffer []byte, host string) ([]byte, bool) {
	if len(host) > len(buffer) {
		return nil, false
	}
	for i := range len(host) {
		b := host[i]
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		buffer[i] = b
	}
	return buffer[:len(host)], true
}
