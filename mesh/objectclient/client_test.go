package objectclient

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client of a test server with the handler.
func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := &Client{Store: s.URL + "/", StoreToken: "secret", StoreTimeout: 30 * time.Second}
	t.Cleanup(func() { c.httpTransport().CloseIdleConnections() })
	return c
}

// callAll makes one call of each kind and returns the kinds of their errors.
func callAll(t *testing.T, c *Client) string {
	var out strings.Builder
	o := object.New("leases", "relay-obb-a-0", "7", []byte(`{"holder":"<a&b>"}`))
	record := func(name string, err error) { fmt.Fprintf(&out, "%s: %s\n", name, fault.KindOf(err)) }
	_, err := c.Get(t.Context(), o.Plural(), o.Name())
	record("get", err)
	_, _, err = c.List(t.Context(), o.Plural())
	record("list", err)
	_, err = c.Create(t.Context(), o)
	record("create", err)
	_, err = c.Update(t.Context(), o)
	record("update", err)
	record("delete", c.Delete(t.Context(), o))
	record("watch", c.Watch(t.Context(), o.Plural(), o.Name(), "7", func(event.Change, object.Object) {}))
	return out.String()
}

// TestRequests guards against a request that differs from the published API conventions.
func TestRequests(t *testing.T) {
	var mu sync.Mutex
	var got bytes.Buffer
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&got, "%s %s\n", r.Method, r.URL)
		for _, h := range []string{"Authorization", "Accept", "Content-Type"} {
			fmt.Fprintf(&got, "%s: %s\n", h, r.Header.Get(h))
		}
		io.Copy(&got, r.Body)
		got.WriteByte('\n')
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	callAll(t, c)
	mu.Lock()
	defer mu.Unlock()
	goldie.New(t).Assert(t, "requests", got.Bytes())
}

// TestResponses guards against a status or an unreadable body that is mistaken for proof that a write did not run, and
// against a redirect that is followed.
func TestResponses(t *testing.T) {
	var out strings.Builder
	bodies := []string{"", "{", `{"metadata":{"name":"a"}}`, `{"metadata":{"resourceVersion":"1"},"items":[{}]}`, strings.Repeat(" ", maxObjectBytes+1)}
	for i, body := range bodies {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) })
		fmt.Fprintf(&out, "200 with body %d\n%s", i, callAll(t, c))
	}
	for _, code := range []int{301, 400, 401, 403, 404, 409, 410, 413, 429, 500, 502, 503, 504} {
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(code)
		})
		fmt.Fprintf(&out, "%d\n%s", code, callAll(t, c))
	}
	goldie.New(t).Assert(t, "answers", []byte(out.String()))
}

// TestWatchChanges guards against a watch that continues after a broken, oversized or failed change.
func TestWatchChanges(t *testing.T) {
	data, err := os.ReadFile("testdata/changes.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for i, stream := range strings.Split(string(data), "---\n") {
		stream = strings.ReplaceAll(stream, "$LARGE", strings.Repeat("x", maxObjectBytes))
		fmt.Fprintf(&out, "case %d\n", i+1)
		err := readChanges("heads", strings.NewReader(stream), func(c event.Change, o object.Object) {
			fmt.Fprintf(&out, "%s %s at %s is %s\n", c, o.Name(), o.Revision(), o.Spec())
		})
		fmt.Fprintf(&out, "%s: %v\n", fault.KindOf(err), err)
	}
	goldie.New(t).Assert(t, "changes", []byte(out.String()))
}

// TestNoRetry guards against the transport's own retry, which would send a read twice when a kept-alive connection is
// closed instead of answered.
func TestNoRetry(t *testing.T) {
	var count atomic.Int32
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNotFound)
	})
	for _, want := range []fault.Kind{fault.NotFound, fault.Unavailable} {
		if _, err := c.Get(t.Context(), "heads", "active"); fault.KindOf(err) != want {
			t.Errorf("got %v, want a fault of kind %s", err, want)
		}
	}
	if n := count.Load(); n != 2 {
		t.Errorf("the server got %d requests, want 2", n)
	}
}

// TestTrackedConn guards against a request that is sent although it was reported as not sent.
func TestTrackedConn(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go io.Copy(io.Discard, remote)
	c := trackedConnOf(&trackedConn{Conn: local})
	if !c.blockIfUnused() {
		t.Error("an unused connection is not blocked")
	}
	if _, err := c.Write([]byte("late")); err != errBlocked {
		t.Errorf("a blocked connection wrote, with error %v", err)
	}
	c.startRequest()
	if _, err := c.Write([]byte("sent")); err != nil {
		t.Errorf("the connection does not write after startRequest: %v", err)
	}
	if c.blockIfUnused() {
		t.Error("a used connection counts as unused")
	}
}

// TestCheck guards against settings that fail only at the first call, or without a remedy.
func TestCheck(t *testing.T) {
	var out strings.Builder
	for _, c := range []*Client{
		{Store: "http://127.0.0.1:7480", StoreTimeout: time.Second},
		{Store: "", StoreTimeout: time.Second},
		{Store: "127.0.0.1:7480", StoreTimeout: 0},
	} {
		fmt.Fprintf(&out, "%q %s: %v\n", c.Store, c.StoreTimeout, c.Check())
	}
	goldie.New(t).Assert(t, "check", []byte(out.String()))
}
