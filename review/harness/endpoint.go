package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a sound endpoint beside a node.
type endpoint struct {
	run      *run
	node     *node
	id       string
	service  string
	version  string
	slots    int
	work     time.Duration
	born     int64
	server   *http.Server
	sequence atomic.Int64
	inUse    atomic.Int64
	stop     chan struct{} // ends the heartbeats
	once     sync.Once
	crashes  string        // path of the requests that crash it, or empty
	downFor  time.Duration // after a crash

	mutex sync.Mutex
	down  bool // between a crash and the next start
	runs  []runEntry
	lost  int // other requests that were running when it crashed
}

// runEntry is a request that an endpoint has begun to run.
type runEntry struct {
	at       time.Time
	id       string // of the request
	path     string
	caller   string // Caller-Service
	endpoint *endpoint
}

// newEndpoint starts the endpoint of the node's service beside the node.
func (r *run) newEndpoint(n *node, id string) (*endpoint, error) {
	e := &endpoint{
		run: r, node: n, id: id, service: n.place.service, version: "v1", slots: 12, work: 20 * time.Millisecond,
		born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", r.address(n.index, endpointPort))
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: 10 * time.Second}
	go e.server.Serve(l)
	r.endpoints = append(r.endpoints, e)
	r.note("endpoint %s (%s) starts beside machine %d, born %d", id, e.service, n.index, e.born)
	return e, nil
}

// beatUntilStopped sends a heartbeat every 1.5 s.
func (e *endpoint) beatUntilStopped() {
	for {
		e.mutex.Lock()
		down := e.down
		e.mutex.Unlock()
		if !down {
			e.beat(e.nextBeat("ready"))
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// crash ends the endpoint without a word and starts it again later, as another incarnation with a new id.
func (e *endpoint) crash() {
	e.mutex.Lock()
	if e.down {
		e.mutex.Unlock()
		return
	}
	e.down = true
	old, others := e.server, int(e.inUse.Load())-1
	e.lost += others
	e.mutex.Unlock()
	old.Close()
	e.run.note("endpoint %s crashes; %d other requests were running", e.id, others)
	time.Sleep(e.downFor)
	l, err := net.Listen("tcp", e.run.address(e.node.index, endpointPort))
	if err != nil {
		e.run.note("endpoint %s cannot start again: %v", e.id, err)
		return
	}
	e.mutex.Lock()
	e.id, e.born = e.id+"x", time.Now().UnixMilli()
	e.sequence.Store(0)
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: 10 * time.Second}
	next := e.server
	e.down = false
	e.mutex.Unlock()
	e.run.note("endpoint %s is back", e.id)
	go next.Serve(l)
	e.beat(e.nextBeat("ready"))
}

// stopBeats ends the heartbeats.
func (e *endpoint) stopBeats() { e.once.Do(func() { close(e.stop) }) }

// exit ends the endpoint.
func (e *endpoint) exit() {
	e.stopBeats()
	e.server.Close()
}

// nextBeat returns the body of the next heartbeat.
func (e *endpoint) nextBeat(state string) []byte {
	return beatBody(e.run.address(e.node.index, endpointPort), e.service, e.version, e.node.place.zone, e.slots, state, e.sequence.Add(1), e.born)
}

func beatBody(address, service, version, zone string, slots int, state string, sequence, born int64) []byte {
	data, err := json.Marshal(map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": service, "version": version, "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": sequence, "warmupLeft": "0ms"},
	})
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	return data
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (e *endpoint) beat(body []byte) bool { return e.run.announce(http.MethodPut, e.node, e.id, body) }

// leave reports that the endpoint is gone and reports whether that was acknowledged.
func (e *endpoint) leave() bool {
	return e.run.announce(http.MethodDelete, e.node, e.id, []byte(fmt.Sprintf(`{"born":%d}`, e.born)))
}

// announce calls the control address of the node's machine.
func (r *run) announce(method string, n *node, id string, body []byte) bool {
	q, err := http.NewRequest(method, "http://"+r.address(n.index, announcePort)+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	io.Copy(io.Discard, a.Body)
	if method != http.MethodPut || !strings.Contains(string(body), `"seq":`) || a.StatusCode >= 300 {
		r.note("%s /instances/%s at machine %d: %d", method, id, n.index, a.StatusCode)
	}
	return a.StatusCode < 300
}

func (e *endpoint) handle(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if expected := q.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || e.inUse.Add(1) > int64(e.slots) {
		if id != "" {
			e.inUse.Add(-1)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.inUse.Add(-1)
	e.mutex.Lock()
	e.runs = append(e.runs, runEntry{at: time.Now(), id: id, path: q.URL.Path, caller: q.Header.Get("Caller-Service"), endpoint: e})
	e.mutex.Unlock()
	e.run.note("endpoint %s (%s) runs %s %s %s, Caller-Service %q", e.id, e.service, q.Method, q.URL.Path, id, q.Header.Get("Caller-Service"))
	if e.crashes != "" && q.URL.Path == e.crashes {
		go e.crash()
		<-q.Context().Done()
		return
	}
	wait := e.work
	if ms, err := strconv.Atoi(q.Header.Get("Deadline-Ms")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-time.After(wait):
	case <-q.Context().Done():
		return
	}
	answer := fmt.Sprintf("%s %s %d", e.id, id, len(body))
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", e.id, id, len(answer)))
	io.WriteString(w, answer)
}

// allRuns returns the runs of all endpoints by the request's identifier.
func (r *run) allRuns() map[string][]runEntry {
	found := map[string][]runEntry{}
	for _, e := range r.endpoints {
		e.mutex.Lock()
		for _, one := range e.runs {
			found[one.id] = append(found[one.id], one)
		}
		e.mutex.Unlock()
	}
	return found
}
