package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event are the store's JSON, as in PROTOCOL.md.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   metadata        `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in of the platform's store. It loses nothing and answers after 4 ms.
type store struct {
	run    *run
	server *http.Server

	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{} // closed at the next change
	down     bool          // resets the connections of all nodes
	refused  map[int]bool  // machines that get 503
	conns    map[net.Conn]bool
	calls    map[int]int // answered calls since resetCalls, by machine
}

type connKey struct{}

func (r *run) startStore() error {
	s := &store{run: r, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), refused: map[int]bool{}, conns: map[net.Conn]bool{}, calls: map[int]int{}}
	l, err := net.Listen("tcp", r.address(0, storePort))
	if err != nil {
		return err
	}
	s.server = &http.Server{
		Handler:     http.HandlerFunc(s.handle),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			switch state {
			case http.StateNew:
				s.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(s.conns, c)
			}
		},
	}
	go s.server.Serve(l)
	r.store = s
	return nil
}

func (s *store) close() { s.server.Close() }

// setDown begins or ends an outage in which all connections are reset.
func (s *store) setDown(down bool) {
	s.run.note("store: down %v", down)
	s.mutex.Lock()
	s.down = down
	var cut []net.Conn
	if down {
		for c := range s.conns {
			cut = append(cut, c)
		}
	}
	s.mutex.Unlock()
	for _, c := range cut {
		reset(c)
	}
}

// setRefused sets the machines that the store turns away with 503.
func (s *store) setRefused(machines ...int) {
	s.run.note("store: turns away machines %v", machines)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused = map[int]bool{}
	for _, m := range machines {
		s.refused[m] = true
	}
	s.notify()
}

// resetCalls begins to count the calls that are served, by machine.
func (s *store) resetCalls() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = map[int]int{}
}

// noteCalls records the count.
func (s *store) noteCalls() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.run.note("store: calls served since the change, by machine: %v", s.calls)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// notify wakes the watches; the caller holds the mutex.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes an object as the operator does and returns its revision.
func (s *store) operate(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // cases pass only what can be encoded
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, data
	o = s.put(kind, o)
	s.run.note("operator: %s/%s acknowledged at revision %d: %s", kind, name, o.Meta.Revision, data)
	return o.Meta.Revision
}

// get returns an object.
func (s *store) get(kind, name string) (object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// put stores the object as a new revision; the caller holds the mutex.
func (s *store) put(kind string, o object) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o})
	s.notify()
	return o
}

// turnedAway reports whether the store turns the machine away now.
func (s *store) turnedAway(machine int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused[machine]
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) handle(w http.ResponseWriter, q *http.Request) {
	machine := s.machineOf(q)
	s.mutex.Lock()
	down := s.down
	s.mutex.Unlock()
	if down {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
		}
		return
	}
	if s.turnedAway(machine) {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "busy"})
		return
	}
	s.mutex.Lock()
	s.calls[machine]++
	s.mutex.Unlock()
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.Trim(q.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such path"})
		return
	}
	kind := parts[1]
	switch {
	case q.Method == http.MethodGet && len(parts) == 2 && q.URL.Query().Has("watch"):
		s.watch(w, q, kind, machine)
	case q.Method == http.MethodGet && len(parts) == 2:
		s.list(w, q, kind)
	case q.Method == http.MethodGet && len(parts) == 3:
		if o, ok := s.get(kind, parts[2]); ok {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case q.Method == http.MethodPost && len(parts) == 2:
		s.create(w, q, kind)
	case q.Method == http.MethodPut && len(parts) >= 3:
		s.replace(w, q, kind, parts[2], len(parts) == 4 && parts[3] == "status", machine)
	default:
		reply(w, http.StatusBadRequest, map[string]string{"error": "not supported"})
	}
}

func (s *store) list(w http.ResponseWriter, q *http.Request, kind string) {
	s.mutex.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > q.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "asOf": revision})
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string, machine int) {
	after, err := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, e := strconv.Atoi(q.URL.Query().Get("waitMs"))
	if err != nil || e != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed watch"})
		return
	}
	timeout := time.After(min(30*time.Second, time.Duration(wait)*time.Millisecond))
	for over := false; ; {
		if s.turnedAway(machine) {
			reply(w, http.StatusServiceUnavailable, map[string]string{"error": "busy"})
			return
		}
		s.mutex.Lock()
		found := []event{}
		for _, v := range s.events {
			if v.kind == kind && v.revision > after {
				found = append(found, v)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(found) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": found, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) create(w http.ResponseWriter, q *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Meta.Name == "" {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed object"})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		reply(w, http.StatusConflict, old)
		return
	}
	o.Meta.Created = 0
	reply(w, http.StatusCreated, s.put(kind, o))
}

func (s *store) replace(w http.ResponseWriter, q *http.Request, kind, name string, status bool, machine int) {
	var o object
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed object"})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, ok := s.objects[kind][name]
	switch {
	case !ok:
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		s.run.note("store: machine %d: PUT %s/%s refused: revision %d, not %d", machine, kind, name, o.Meta.Revision, old.Meta.Revision)
		reply(w, http.StatusConflict, old)
		return
	}
	next := old
	if status {
		next.Status = o.Status
	} else {
		next.Spec = o.Spec
	}
	if string(next.Status) == string(old.Status) && string(next.Spec) == string(old.Spec) {
		reply(w, http.StatusOK, old)
		return
	}
	next = s.put(kind, next)
	s.run.note("store: machine %d: PUT %s/%s done at revision %d: status %s", machine, kind, name, next.Meta.Revision, next.Status)
	reply(w, http.StatusOK, next)
}

var owners sync.Map // net.Conn -> int

// machineOf returns the machine whose process opened the connection, or 0. All nodes have the source address of the
// loopback device, so the socket is looked up among those of the processes that the run started.
func (s *store) machineOf(q *http.Request) int {
	c, ok := q.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return 0
	}
	if known, ok := owners.Load(c); ok {
		return known.(int)
	}
	owner := 0
	if inode := socketInode(c.RemoteAddr().(*net.TCPAddr)); inode != "" {
		for _, n := range s.run.nodes {
			if pid := n.pid(); pid > 0 && hasSocket(pid, inode) {
				owner = n.index
			}
		}
	}
	owners.Store(c, owner)
	return owner
}

// socketInode returns the inode of the socket that is bound to the address.
func socketInode(a *net.TCPAddr) string {
	ip := a.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], local) && f[9] != "0" {
				return f[9]
			}
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
