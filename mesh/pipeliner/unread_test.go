package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/evictor"
)

// memoryBody is a body in memory that tells when it is released.
type memoryBody struct {
	*strings.Reader
	data     []byte
	released *atomic.Int64
}

func (b *memoryBody) Bytes() []byte { return b.data }
func (b *memoryBody) Close() error {
	b.released.Add(1)
	return nil
}

// sizeHandler answers with as many bytes as the query of the request says.
type sizeHandler struct {
	*fakeHandler
	released atomic.Int64
}

func (h *sizeHandler) Handle(_ context.Context, q *http.Request, _ []byte, _ time.Time) *http.Response {
	size := 0
	fmt.Sscan(q.URL.RawQuery, &size)
	r := answerOf(200, strings.Repeat("x", size))
	r.Header.Set("Date", "today")
	r.Body = &memoryBody{strings.NewReader(strings.Repeat("x", size)), bytes.Repeat([]byte("x"), size), &h.released}
	return r
}

// TestAnswersInMemory guards against answers that differ on the wire from those of other bodies, and against bodies that
// are not released.
func TestAnswersInMemory(t *testing.T) {
	for _, size := range []int{0, 1, 3000, 4096, 60 << 10, 200 << 10} {
		h := &sizeHandler{fakeHandler: newHandler()}
		c, end := connect(t, &Pipeliner{Handler: h, Ahead: 4, Held: &atomic.Int64{}, MaxHeld: 1 << 20, Limit: 1 << 24})
		fmt.Fprintf(c, "GET /?%d HTTP/1.1\r\nHost: h\r\n\r\nHEAD /?%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", size, size)
		got, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		<-end
		var want bytes.Buffer
		for _, method := range []string{"GET", "HEAD"} {
			r := answerOf(200, strings.Repeat("x", size))
			r.Header.Set("Date", "today")
			r.ProtoMajor, r.ProtoMinor, r.Request, r.Close = 1, 1, &http.Request{Method: method}, method == "HEAD"
			if err := r.Write(&want); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(got, want.Bytes()) {
			t.Errorf("%d bytes: the answers differ", size)
		}
		if n := h.released.Load(); n < 2 {
			t.Errorf("%d bytes: %d of 2 bodies were released", size, n)
		}
	}
}

// TestUnread guards against callers that fill the memory with small answers which they do not read: a caller with many of
// them is dropped, and one with a single one is not.
func TestUnread(t *testing.T) {
	var unread, held atomic.Int64
	asked := atomic.Int64{}
	start := func() (*Pipeliner, net.Conn, <-chan struct{}) {
		p := &Pipeliner{
			Handler: &sizeHandler{fakeHandler: newHandler()}, Ahead: 16, Held: &held, MaxHeld: 1 << 30, Limit: 1 << 24,
			Unread: &unread, MaxUnread: 300_000, Reclaim: func() { asked.Add(1) },
		}
		c, end := connect(t, p)
		return p, c, end
	}
	request := "GET /?60000 HTTP/1.1\r\nHost: h\r\n\r\n"
	// Answers that wait behind this one cannot have been written.
	_, c, end := start()
	unread.Add(250_000)
	io.WriteString(c, strings.Repeat(request, 16))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := io.Copy(io.Discard, c); err == nil && n >= 16*60000 {
		t.Errorf("the caller got all of its answers, %d bytes", n)
	}
	<-end
	_, c, end = start()
	unread.Store(10_000_000)
	io.WriteString(c, request)
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 200 {
		t.Errorf("a caller with one answer: %v", err)
	}
	c.Close()
	<-end
	if asked.Load() == 0 || unread.Load() != 10_000_000 {
		t.Errorf("slow readers were asked %d times, %d bytes are counted", asked.Load(), unread.Load())
	}
}

// TestState guards against a caller that does not read its answer and is not known as such, and against one whose dropped
// connection goes on.
func TestState(t *testing.T) {
	h := &sizeHandler{fakeHandler: newHandler()}
	p := &Pipeliner{Handler: h, Ahead: 4, Held: &atomic.Int64{}, MaxHeld: 1 << 20, Limit: 1 << 24}
	c, end := connect(t, p)
	p.WriteTimeout = time.Minute
	await := func(state string) evictor.Connection {
		for begun := time.Now(); p.State().String() != state; time.Sleep(time.Millisecond) {
			if time.Since(begun) > 10*time.Second {
				t.Fatalf("%v, not %s", p.State(), state)
			}
		}
		return p.State()
	}
	await("idle")
	io.WriteString(c, "GET /?30000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	if s := await("reading"); time.Since(s.Since()) > 10*time.Second || s.Read() >= 30_000_000 {
		t.Errorf("reading since %v, %d bytes", s.Since(), s.Read())
	}
	p.Drop()
	<-end
	if h.released.Load() != 1 {
		t.Errorf("the body was released %d times", h.released.Load())
	}
}

// blockingHandler answers like sizeHandler, but requests of certain paths only once their channel is closed.
type blockingHandler struct {
	sizeHandler
	letGo map[string]chan struct{}
}

func (h *blockingHandler) Handle(ctx context.Context, q *http.Request, body []byte, begun time.Time) *http.Response {
	if c, ok := h.letGo[q.URL.Path]; ok {
		<-c
	}
	return h.sizeHandler.Handle(ctx, q, body, begun)
}

// TestStateBetweenAnswers guards against a caller that sends requests ahead and has read every answer that was written, and
// that is taken for one that does not read since the first of them.
func TestStateBetweenAnswers(t *testing.T) {
	const pause = 50 * time.Millisecond
	letGo := map[string]chan struct{}{"/first": make(chan struct{}), "/second": make(chan struct{})}
	h := &blockingHandler{sizeHandler{fakeHandler: newHandler()}, letGo}
	p := &Pipeliner{Handler: h, Ahead: 4, Held: &atomic.Int64{}, MaxHeld: 1 << 20, Limit: 1 << 24}
	c, _ := connect(t, p)
	answers := bufio.NewReader(c)
	for _, path := range []string{"/first", "/second", "/third"} {
		fmt.Fprintf(c, "GET %s?100000 HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	for p.unread.Load() < 100000 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(pause)
	first := time.Now()
	close(letGo["/first"])
	r, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	for h.released.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(pause)
	if s := p.State(); s.String() != "reading" || s.Since().Before(first) {
		t.Errorf("%v since %v before the first answer was written", s, first.Sub(s.Since()))
	}
	close(letGo["/second"])
}

// TestStateBehindAnswer guards against a caller that reads the rest of an answer from the system's buffers while the next one
// is written, and that is taken for one that does not read.
func TestStateBehindAnswer(t *testing.T) {
	const buffer, first, read = 1 << 20, 200_000, 150_000
	h := &sizeHandler{fakeHandler: newHandler()}
	p := &Pipeliner{Handler: h, Ahead: 4, Held: &atomic.Int64{}, MaxHeld: 1 << 20, Limit: 1 << 24}
	c, end := connect(t, p)
	p.WriteTimeout = time.Minute
	c.(*net.TCPConn).SetReadBuffer(buffer / 64)
	p.Conn.(*net.TCPConn).SetWriteBuffer(buffer)
	fmt.Fprintf(c, "GET /?%d HTTP/1.1\r\nHost: h\r\n\r\nGET /?30000000 HTTP/1.1\r\nHost: h\r\n\r\n", first)
	for begun := time.Now(); h.released.Load() == 0 || p.writingSince.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the system's buffers do not take the first answer")
		}
	}
	if _, err := io.CopyN(io.Discard, c, read); err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); p.State().Read() < read/4; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatalf("%d bytes are known to be read, of %d", p.State().Read(), read)
		}
	}
	p.Drop()
	<-end
}
