package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It keeps all history and answers linearizably.
type store struct {
	mutex    sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	history  []change
	changed  chan struct{} // closed and replaced at each change
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"createdRev,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

const storeDelay = 4 * time.Millisecond

func newStore() *store {
	return &store{revision: 10, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// note records a change; the caller holds the mutex.
func (s *store) note(kind string, o object, deleted bool) {
	s.history = append(s.history, change{kind: kind, revision: s.revision, Deleted: deleted, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	if body.Metadata.Revision == 0 {
		body.Metadata.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	if r.Method == http.MethodGet && name == "" {
		if r.URL.Query().Has("watch") {
			s.watch(w, r, kind)
			return
		}
		s.list(w, kind)
		return
	}
	s.mutex.Lock()
	status, out := s.apply(r.Method, kind, name, len(parts) > 2, body)
	s.mutex.Unlock()
	reply(w, status, out)
}

// apply makes one call on one object; the caller holds the mutex.
func (s *store) apply(method, kind, name string, onStatus bool, body object) (int, any) {
	if name == "" {
		name = body.Metadata.Name
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	old := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && old != nil:
		return http.StatusConflict, old
	case method == http.MethodPost:
		s.revision++
		o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: body.Spec, Status: body.Status}
		s.kinds[kind][name] = o
		s.note(kind, *o, false)
		return http.StatusCreated, o
	case old == nil:
		return http.StatusNotFound, "no such object"
	case method == http.MethodGet:
		return http.StatusOK, old
	case body.Metadata.Revision != 0 && body.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		s.note(kind, *old, true)
		return http.StatusOK, old
	}
	next := *old
	if onStatus {
		next.Status = body.Status
	} else {
		next.Spec = body.Spec
	}
	if string(next.Status) == string(old.Status) && string(next.Spec) == string(old.Spec) {
		return http.StatusOK, old
	}
	s.revision++
	next.Metadata.Revision = s.revision
	s.kinds[kind][name] = &next
	s.note(kind, next, false)
	return http.StatusOK, &next
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, *o)
	}
	at := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "asOf": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		events, at, changed := []change{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
