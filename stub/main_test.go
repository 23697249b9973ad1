package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func send(s *stub, method, path, body, key string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

// TestResponses guards against changed responses, which the demo and the tests of other programs rely on.
func TestResponses(t *testing.T) {
	s := newStub(settings{version: "v2", failAfterCalls: 4})
	for i, c := range []struct {
		method, path, body, key string
		status                  int
		want                    string
	}{
		{"GET", "/a?b=1", "", "", 200, `{"version":"v2","path":"/a","count":1}`},
		{"POST", "/echo", "hello", "k1", 200, "hello"},
		{"POST", "/b", "x", "k1", 200, `{"version":"v2","path":"/b","count":3}`},
		{"POST", "/b", "x", "k2", 200, `{"version":"v2","path":"/b","count":4}`},
		{"GET", "/a", "", "", 500, "failed as configured"},
		{"GET", "/runs", "", "", 200, `{"k1":2,"k2":1}`},
		{"GET", "/runs?key=k1", "", "", 200, `{"k1":2}`},
		{"GET", "/runs?key=k3", "", "", 200, `{"k3":0}`},
	} {
		if status, body := send(s, c.method, c.path, c.body, c.key); status != c.status || body != c.want {
			t.Errorf("%d. %s %s: %d %s", i+1, c.method, c.path, status, body)
		}
	}
}

// TestFailureShare guards against a share of failures that differs from the flag.
func TestFailureShare(t *testing.T) {
	s := newStub(settings{failPermille: 250})
	next := 0
	s.randomN = func(n int) int { next++; return next % n }
	failed := 0
	for range 1000 {
		if status, _ := send(s, "GET", "/", "", ""); status == 500 {
			failed++
		}
	}
	if failed != 250 {
		t.Errorf("%d of 1000 calls failed", failed)
	}
}

// TestCrashPath guards against an exit on a path other than --crash-on, and against a response before the exit.
func TestCrashPath(t *testing.T) {
	s := newStub(settings{crashPath: "/crash"})
	exits := 0
	s.exit = func() { exits++ }
	send(s, "GET", "/", "", "")
	if exits != 0 {
		t.Error("it exits on another path")
	}
	if _, body := send(s, "GET", "/crash", "", ""); exits != 1 || body != "" {
		t.Errorf("%d exits, response %q", exits, body)
	}
}

// TestGracefulStop guards against a shutdown that aborts a call in flight.
func TestGracefulStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseFlags([]string{"--delay", "50"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	s := newStub(c)
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, slog.New(slog.DiscardHandler), l, s) }()
	answered := make(chan error, 1)
	go func() {
		r, err := http.Get("http://" + l.Addr().String() + "/")
		if err == nil {
			_, err = io.ReadAll(r.Body)
			r.Body.Close()
		}
		answered <- err
	}()
	for s.calls.Load() == 0 {
		select {
		case err := <-answered:
			t.Fatal("answered before it was counted", err)
		case <-time.After(time.Millisecond):
		}
	}
	stop()
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestInvalidFlags guards against an invalid flag that is ignored.
func TestInvalidFlags(t *testing.T) {
	for _, bad := range []string{"--fail=1001", "--fail=-1", "--delay=-1", "--fail-after=-1", "--drain=0s", "--unknown"} {
		var b bytes.Buffer
		if _, err := parseFlags([]string{bad}, &b); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
