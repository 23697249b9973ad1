package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "start.example"

// sent is a request of a client and its answer.
type sent struct {
	id     string
	node   *node
	path   string
	at     time.Time
	status int // 0 without an answer
	body   string
}

var lastRequest atomic.Int64

// send sends one request to a node as a client on its machine and waits for the answer.
func (r *run) send(n *node, method, path, body string) sent {
	s := sent{id: fmt.Sprintf("q%06d", lastRequest.Add(1)), node: n, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2200*time.Millisecond)
	defer cancel()
	address := r.address(n.index, callersPort)
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	q.Host = host
	q.Header.Set("Request-Id", s.id)
	q.Header.Set("Deadline-Ms", "2000")
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	a, err := (&http.Client{Transport: t}).Do(q)
	if err != nil {
		r.note("client at machine %d: %s %s %s: no answer: %v", n.index, method, path, s.id, err)
		return s
	}
	defer a.Body.Close()
	data, _ := io.ReadAll(a.Body) // a body that is cut short is shown as it is
	s.status, s.body = a.StatusCode, string(data)
	r.note("client at machine %d: %s %s %s: %d %q", n.index, method, path, s.id, s.status, s.body)
	return s
}
