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

// endpoint is a stand-in for an application endpoint.
type endpoint struct {
	rig       *rig
	host      int
	id        string
	service   string
	version   string
	born      int64
	failShare float64 // of the requests that it runs
	slots     chan struct{}
	sequence  atomic.Int64
	ran       atomic.Int64
	server    *http.Server
	stop      chan struct{} // ends the heartbeats
	once      sync.Once
}

const slots = 12

func (g *rig) startEndpoint(host int, id, service, version string, failShare float64) *endpoint {
	e := &endpoint{
		rig: g, host: host, id: id, service: service, version: version, born: time.Now().UnixMilli(), failShare: failShare,
		slots: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", g.address(host, appPort))
	if err != nil {
		panic(err)
	}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	g.note("endpoint %s (%s %s) starts on machine %d", id, service, version, host)
	return e
}

// message returns a heartbeat with the next sequence number.
func (e *endpoint) message(state string) []byte {
	data, err := json.Marshal(map[string]any{
		"address": e.rig.address(e.host, appPort), "born": e.born,
		"info":   map[string]any{"service": e.service, "version": e.version, "zone": "obb-a", "slots": slots},
		"status": map[string]any{"state": state, "seq": e.sequence.Add(1), "warmupLeft": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// tell sends one message to the node on the endpoint's machine and returns the status, or 0 without an answer.
func (e *endpoint) tell(method string, body []byte) int {
	q, err := http.NewRequest(method, "http://"+e.rig.address(e.host, controlPort)+"/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Do(q)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, w.Body)
	w.Body.Close()
	return w.StatusCode
}

// beat sends heartbeats until the endpoint stops them. While no node answers, it tries again soon.
func (e *endpoint) beat() {
	for {
		pause := heartbeat
		if e.tell(http.MethodPut, e.message("ready")) != http.StatusOK {
			pause = 300 * time.Millisecond
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (e *endpoint) stopBeats() { e.once.Do(func() { close(e.stop) }) }

// end closes the endpoint and all of its connections.
func (e *endpoint) end() {
	e.stopBeats()
	e.server.Close()
	e.rig.note("endpoint %s ends", e.id)
}

// ServeHTTP runs requests. The second part of a path such as /p/w250/x is the work in milliseconds.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := e.ran.Add(1)
	limit, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	x := run{
		at: time.Now(), id: id, instance: e.id, service: e.service, version: e.version, caller: r.Header.Get("Caller-Service"),
		method: r.Method, path: r.URL.Path, deadline: time.Duration(limit) * time.Millisecond,
	}
	work, status := 20*time.Millisecond, http.StatusOK
	if _, after, ok := strings.Cut(r.URL.Path, "/w"); ok {
		ms, _, _ := strings.Cut(after, "/")
		if v, err := strconv.Atoi(ms); err == nil {
			work = time.Duration(v) * time.Millisecond
		}
	}
	if e.failShare > 0 && float64(n%100) < 100*e.failShare {
		status = http.StatusInternalServerError
	}
	if limit > 0 && work > x.deadline {
		work, status = x.deadline, http.StatusGatewayTimeout
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		x.outcome = strconv.Itoa(status)
	case <-r.Context().Done():
		x.outcome = "dropped, as its connection closed"
	}
	x.endedAt = time.Now()
	e.rig.mutex.Lock()
	e.rig.runs = append(e.rig.runs, x)
	e.rig.mutex.Unlock()
	e.rig.note("%s (%s %s) ran %s of %q, work of %d ms: %s", e.id, e.service, e.version, id, x.caller, x.endedAt.Sub(x.at).Milliseconds(), x.outcome)
	if x.outcome[0] == 'd' {
		return
	}
	w.Header().Set("Response-Signature", fmt.Sprintf("%x.%s.%d", len(body), e.id, n))
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s ran %s\n", e.id, id)
}

// allRuns returns a copy of the runs so far.
func (g *rig) allRuns() []run {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]run(nil), g.runs...)
}

func (g *rig) since(t time.Time) float64 { return t.Sub(g.begun).Seconds() }
