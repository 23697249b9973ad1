package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/plan"
)

// fakeHandler answers requests as their paths say; see TestConversations.
type fakeHandler struct {
	mutex   sync.Mutex
	handled []string
	release chan struct{} // closed to end the requests to /wait
	ended   chan error    // why a request to /hang ended
}

func newHandler() *fakeHandler {
	return &fakeHandler{release: make(chan struct{}), ended: make(chan error, 100)}
}

func (h *fakeHandler) Limits() plan.Limits {
	return plan.Limits{MaxHeaderBytes: 6000, MaxBodyBytes: 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
}

func (h *fakeHandler) MayOverlap(q *http.Request) bool { return q.Method == http.MethodGet }

func (h *fakeHandler) Handle(ctx context.Context, q *http.Request, body []byte, _ time.Time) *http.Response {
	h.mutex.Lock()
	h.handled = append(h.handled, fmt.Sprintf("%s %s %q", q.Method, q.RequestURI, body))
	h.mutex.Unlock()
	switch q.URL.Path {
	case "/wait":
		<-h.release
	case "/hang":
		<-ctx.Done()
		h.ended <- ctx.Err()
	case "/panic":
		panic("planted")
	case "/large":
		return answerOf(200, strings.Repeat("x", 1<<20))
	}
	return answerOf(200, q.URL.Path)
}

func (h *fakeHandler) Abandoned(*http.Request, time.Time) {}

func (h *fakeHandler) Reject(_ *http.Request, status int, reason string) *http.Response {
	return answerOf(status, reason)
}

func answerOf(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// start serves one connection and returns the caller's side of it; Run's end is reported on the channel.
func start(t *testing.T, h *fakeHandler) (*Pipeliner, net.Conn, <-chan struct{}) {
	t.Helper()
	p := &Pipeliner{Handler: h, Ahead: 4, Held: &atomic.Int64{}, MaxHeld: 1 << 20, Limit: 1 << 24}
	c, end := connect(t, p)
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return p, c, end
}

// connect serves one connection with p, whose other fields it sets, and returns the caller's side of it; Run's end is
// reported on the channel.
func connect(t *testing.T, p *Pipeliner) (net.Conn, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if p.Conn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	p.WriteTimeout, p.Log = time.Second, slog.New(slog.DiscardHandler)
	end := make(chan struct{})
	go func() {
		p.Run(t.Context())
		close(end)
	}()
	t.Cleanup(func() { c.Close() })
	return c, end
}

// TestConversations sends the bytes of each file in testdata on one connection and compares the answers: good requests
// ahead of a malformed one are answered, nothing is read from bytes that are no request, and an answer that closes the
// connection is the last.
func TestConversations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.bytes")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".bytes")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			// The files have a line feed where a message has both.
			data = bytes.ReplaceAll(data, []byte("\n"), []byte("\r\n"))
			data = bytes.ReplaceAll(data, []byte("<LF>\r\n"), []byte("\n"))
			data = bytes.ReplaceAll(data, []byte("<4KB>"), bytes.Repeat([]byte("x"), 4<<10))
			h := newHandler()
			_, c, end := start(t, h)
			go c.Write(data)
			var out strings.Builder
			for r := bufio.NewReader(c); ; {
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(a.Body)
				fmt.Fprintf(&out, "%d close %v %q %v\n", a.StatusCode, a.Close, body, err)
			}
			c.Close()
			<-end
			// Those that may overlap are handled in any order.
			slices.Sort(h.handled)
			fmt.Fprintf(&out, "handled %d: %s\n", len(h.handled), strings.Join(h.handled, ", "))
			goldie.New(t).Assert(t, name, []byte(out.String()))
		})
	}
}

// TestUnsafeWaitsForItsTurn guards against TWICE and LOST: a request that must not run twice and runs while an answer
// ahead of it can still close the connection.
func TestUnsafeWaitsForItsTurn(t *testing.T) {
	h := newHandler()
	_, c, _ := start(t, h)
	io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nPOST /u HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	waitFor(t, "two requests", func() bool { return h.count() == 2 })
	time.Sleep(30 * time.Millisecond)
	if n := h.count(); n != 2 {
		t.Errorf("%d requests run while the first is not answered: %v", n, h.handled)
	}
	close(h.release)
	r := bufio.NewReader(c)
	for _, want := range []string{"/wait", "/u", "/b"} {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(a.Body); string(body) != want {
			t.Errorf("answer %s, want %s", body, want)
		}
	}
}

// TestAheadBound guards against a caller that writes thousands of requests without reading an answer, and against one
// that is not seen to hang up at that bound.
func TestAheadBound(t *testing.T) {
	h := newHandler()
	p, c, end := start(t, h)
	// Four requests fill the bound; one more waits in the buffer.
	for range p.Ahead + 1 {
		io.WriteString(c, "GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	waitFor(t, "the bound", func() bool { return h.count() == p.Ahead })
	time.Sleep(30 * time.Millisecond)
	if n := h.count(); n != p.Ahead {
		t.Errorf("%d requests run at once, the bound is %d", n, p.Ahead)
	}
	c.Close()
	for range p.Ahead {
		if err := <-h.ended; err != context.Canceled {
			t.Errorf("a request ends with %v", err)
		}
	}
	<-end
	if n := h.count(); n != p.Ahead {
		t.Errorf("%d requests were handled, also after the caller had left", n)
	}
}

// TestFlood guards against memory that grows with what a caller writes, and requests that are lost at the bound.
func TestFlood(t *testing.T) {
	const requests = 10_000
	h := newHandler()
	_, c, _ := start(t, h)
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		written <- err
	}()
	r := bufio.NewReader(c)
	for i := range requests {
		// A lost request is one whose answer does not come, however long all of them take.
		c.SetDeadline(time.Now().Add(10 * time.Second))
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if body, err := io.ReadAll(a.Body); err != nil || string(body) != "/a" {
			t.Fatalf("answer %d is %q, error %v", i, body, err)
		}
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

// TestSlowReader guards against a caller that reads nothing and holds its requests' answers for ever.
func TestSlowReader(t *testing.T) {
	h := newHandler()
	p, c, end := start(t, h)
	// Answers of this size fill the buffers of both sockets.
	io.WriteString(c, strings.Repeat("GET /large HTTP/1.1\r\nHost: h\r\n\r\n", 40))
	select {
	case <-end:
	case <-time.After(8 * time.Second):
		t.Fatal("the connection is still served")
	}
	if n := p.Held.Load(); n != 0 {
		t.Errorf("%d bytes are still counted as held", n)
	}
}

// TestStop guards against LOST: a stop that drops requests that were read, and one that waits for an idle caller.
func TestStop(t *testing.T) {
	h := newHandler()
	p, c, end := start(t, h)
	io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	waitFor(t, "two requests", func() bool { return h.count() == 2 })
	p.Stop()
	io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	close(h.release)
	r := bufio.NewReader(c)
	for _, want := range []string{"/wait close false", "/b close true"} {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(a.Body)
		if got := fmt.Sprintf("%s close %v", body, a.Close); got != want {
			t.Errorf("answer %s, want %s", got, want)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	c.Close()
	<-end
	idle, _, idleEnd := start(t, newHandler())
	idle.Stop()
	<-idleEnd
}

// TestIdleTimeout guards against idle connections that are kept for ever, and against a timeout that counts while a
// request runs.
func TestIdleTimeout(t *testing.T) {
	h := newHandler()
	_, c, end := start(t, h)
	io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case <-end:
		t.Fatal("the connection was closed while a request ran")
	case <-time.After(500 * time.Millisecond):
	}
	close(h.release)
	r := bufio.NewReader(c)
	if _, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	}
	<-end
}

func (h *fakeHandler) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.handled)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not reached", what)
		}
	}
}

// FuzzReadRequest guards against input that panics, blocks or is read as more than it says.
func FuzzReadRequest(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.bytes")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.ReplaceAll(data, []byte("\n"), []byte("\r\n")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		near.Close()
		defer far.Close()
		p := &Pipeliner{Conn: far, Handler: newHandler(), Held: &atomic.Int64{}, Limit: 1 << 20}
		p.reader = bufio.NewReaderSize(bytes.NewReader(data), peekBytes)
		for {
			x, err := p.readRequest(t.Context(), closedChannel)
			if err != nil || x.closes {
				return
			}
			if len(x.body) > 10 || x.request.Host == "" && x.request.ProtoAtLeast(1, 1) && x.request.URL.Host != "" {
				t.Fatalf("body of %d bytes, host %q", len(x.body), x.request.Host)
			}
		}
	})
}
