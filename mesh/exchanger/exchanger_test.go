package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

func newExchanger(address string) *Exchanger {
	return &Exchanger{Address: address, Dialect: fakeDialect{}, Holder: holder.New(32 << 20)}
}

// fakeDialect uses short header names.
type fakeDialect struct{}

func (fakeDialect) SetUpstreamHeaders(h http.Header, c call.Call, _ time.Duration) {
	h.Set("Id", c.RequestID())
}
func (fakeDialect) ResponseRequestID(h http.Header) string { return h.Get("Id") }
func (fakeDialect) Signed(h http.Header) bool              { return h.Get("Signed") != "" }
func (fakeDialect) Leaving(http.Header) bool               { return false }
func (fakeDialect) Limit(http.Header) (float64, error)     { return 0, nil }
func (fakeDialect) NotRun(status int, h http.Header) (bool, bool) {
	return h.Get("Not-Run") != "" || status == 421, status == 421
}

// script is what an upstream does on one connection after it has read a request; %s is replaced by the request's
// identifier.
type script struct {
	response string
	reset    bool // reset the connection after the response
	keepOpen bool // keep the connection open after the response
}

// upstream runs one script for each connection, the last one for all further connections, and reports the requests.
type upstream struct {
	listener net.Listener
	requests chan string
}

func newUpstream(t *testing.T, scripts ...script) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l, requests: make(chan string, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, scripts[min(i, len(scripts)-1)])
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		u.requests <- q.Header.Get("Id")
		io.WriteString(c, strings.ReplaceAll(s.response, "%s", q.Header.Get("Id")))
		if s.reset {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if !s.keepOpen {
			return
		}
	}
}

func request(id string) call.Call {
	return call.New(call.Fields{RequestID: id, Method: "POST", Host: "h", Path: "/p", Body: []byte("body")})
}

const wholeResponse = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"

// TestResponses guards against responses that are misread, such as incomplete ones or those to another request. Each
// case is one call on a new connection; a second call shows whether the connection was reused.
func TestResponses(t *testing.T) {
	cases := []struct {
		name   string
		script script
	}{
		{"whole", script{response: wholeResponse, keepOpen: true}},
		{"whole, then closed", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}},
		{"whole, with more behind it", script{response: wholeResponse + wholeResponse, keepOpen: true}},
		{"another request's first", script{response: "HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno" + wholeResponse, keepOpen: true}},
		{"another request's only", script{response: "HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno"}},
		{"cut", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nok"}},
		{"no bytes", script{}},
		{"reset", script{reset: true}},
		{"not a response", script{response: "hello\r\n\r\n"}},
		{"unsigned", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", keepOpen: true}},
		{"unframed", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\nok"}},
		{"unframed, then reset", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\nok", reset: true}},
		{"encoded", script{response: "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"}},
		{"own failure", script{response: "HTTP/1.1 500 No\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", keepOpen: true}},
		{"not run", script{response: "HTTP/1.1 503 No\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", keepOpen: true}},
		{"not run, no identifier", script{response: "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", keepOpen: true}},
		{"another instance", script{response: "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", keepOpen: true}},
	}
	var out strings.Builder
	for _, c := range cases {
		u := newUpstream(t, c.script)
		x := newExchanger(u.listener.Addr().String())
		a := x.Exchange(context.Background(), request("one"))
		x.Exchange(context.Background(), request("two"))
		fmt.Fprintf(&out, "%-28s status %d, ran %-5s reason %-8s body %-5q connections %d\n", c.name, a.Status(), a.Ran(), a.Reason(), a.Body(), x.Opened())
		x.CloseIdleConnections()
	}
	goldie.New(t).Assert(t, "responses", []byte(out.String()))
}

// endlessConn is the connection with an upstream that sends begin, and then repeat until most bytes have been read.
type endlessConn struct {
	net.Conn
	begin, repeat, rest string
	read, most          int64
}

func (*endlessConn) Write(b []byte) (int, error) { return len(b), nil }
func (*endlessConn) Close() error                { return nil }

func (c *endlessConn) Read(b []byte) (int, error) {
	if c.read > c.most {
		return 0, io.EOF
	}
	if c.read == 0 {
		c.rest = c.begin
	}
	if c.rest == "" {
		c.rest = c.repeat
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	c.read += int64(n)
	return n, nil
}

// TestEndlessResponses guards against an upstream that sends bytes without end, in a head or a body: they must not fill the
// memory, nor hold the call until its deadline.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n"
	block := strings.Repeat("x", 4094) + "\r\n"
	cases := []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", strings.TrimSpace(block)},
		{"header line", head + "X: ", strings.TrimSpace(block)},
		{"header lines", head, "X: " + block},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body with a length", head + "Content-Length: 1000000000000\r\n\r\n", block},
		{"body without a length", head + "\r\n", block},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + block[:4096-4094] + "\r\n"},
		{"small chunks", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 600)},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + block},
		{"failure with a body", "HTTP/1.1 503 No\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 1000000000000\r\n\r\n", block},
	}
	const mostBytes = maxResponseBytes + 2*maxOverheadBytes
	var out strings.Builder
	for _, c := range cases {
		x := newExchanger("")
		upstream := &endlessConn{begin: c.begin, repeat: c.repeat, most: 4 * mostBytes}
		a, reusable := x.roundTrip(t.Context(), newConnection(upstream), request("r"), time.Minute)
		fmt.Fprintf(&out, "%-22s ran %s, reason %s, kept %v, most bytes exceeded %v\n", c.name, a.Ran(), a.Reason(), reusable, upstream.read > mostBytes)
		if n := x.Holder.Used(); n != 0 {
			t.Errorf("%s: %d bytes are still held", c.name, n)
		}
	}
	goldie.New(t).Assert(t, "endless", []byte(out.String()))
}

// TestEndlessOnAllConnections guards against memory that is filled by bodies without end on many connections at once,
// and against usual responses that fail beside them.
func TestEndlessOnAllConnections(t *testing.T) {
	const most = 14 << 20 // an eighth of the smallest host's memory
	x := newExchanger("")
	x.Holder = holder.New(most)
	var holds []*holder.Hold
	read, failed := 0, 0
	for range 12 {
		r := &http.Response{ContentLength: -1, Body: io.NopCloser(&countingReader{strings.NewReader(strings.Repeat("x", maxResponseBytes)), &read})}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, hold, err := x.readBody(ctx, newConnection(nil), r)
		cancel()
		holds = append(holds, hold)
		if err != nil {
			failed++
		}
	}
	if failed != 11 || x.Holder.Used() > most || read > most+12*(holder.CountedFrom+32<<10) {
		t.Errorf("%d of 12 bodies failed, with %d bytes held and %d read", failed, x.Holder.Used(), read)
	}
	usual := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", holder.CountedFrom)))}
	if body, _, err := x.readBody(t.Context(), newConnection(nil), usual); err != nil || len(body) != holder.CountedFrom {
		t.Errorf("a usual body fails: %d bytes, %v", len(body), err)
	}
	for _, hold := range holds {
		hold.Release()
	}
	if n := x.Holder.Used(); n != 0 {
		t.Errorf("%d bytes are held at the end", n)
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	read *int
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	*r.read += n
	return n, err
}

// TestRepeatedRefusals guards against REFUSED and TWICE: an upstream that writes an earlier refusal once more on a kept
// connection, where the response to the next request is due. That request may run, so it must not be reported as not run.
func TestRepeatedRefusals(t *testing.T) {
	const (
		withID    = "HTTP/1.1 503 No\r\nId: one\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		withoutID = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		moved     = "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"
	)
	cases := []struct{ name, refusal, repeated string }{
		{"with the identifier", withID, withID},
		{"without an identifier", withoutID, withoutID},
		{"the identifier is lost", withID, withoutID},
		{"by another instance", moved, moved},
	}
	var out strings.Builder
	for _, c := range cases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go refuseAndRepeat(l, c.refusal, c.repeated)
		x := newExchanger(l.Addr().String())
		first := x.Exchange(context.Background(), request("one"))
		kept := x.idle.Load() != nil
		second := x.Exchange(context.Background(), request("two"))
		fmt.Fprintf(&out, "%-24s first ran %s, connection kept %-5v second ran %s\n", c.name, first.Ran(), kept, second.Ran())
		x.CloseIdleConnections()
		l.Close()
	}
	goldie.New(t).Assert(t, "repeated", []byte(out.String()))
}

// refuseAndRepeat refuses the request "one"; to the next request on the same connection it writes the refusal once more,
// and then the response.
func refuseAndRepeat(l net.Listener, refusal, repeated string) {
	serve := func(conn net.Conn) {
		defer conn.Close()
		again := ""
		for r := bufio.NewReader(conn); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if id := q.Header.Get("Id"); id == "one" {
				io.WriteString(conn, refusal)
				again = repeated
			} else {
				io.WriteString(conn, again+strings.ReplaceAll(wholeResponse, "%s", id))
			}
		}
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// TestUnreachable guards against a refused connection that is reported as a call that may have run.
func TestUnreachable(t *testing.T) {
	u := newUpstream(t, script{})
	u.listener.Close()
	x := newExchanger(u.listener.Addr().String())
	if a := x.Exchange(context.Background(), request("one")); a.Ran() != answer.No || a.Reason() != ReasonUnreachable {
		t.Errorf("ran %s, reason %s; want no and down", a.Ran(), a.Reason())
	}
}

// TestClosedWhileIdle guards against a request on a connection that the upstream has closed: its failure could not be
// distinguished from that of a request that ran.
func TestClosedWhileIdle(t *testing.T) {
	u := newUpstream(t, script{response: wholeResponse}, script{response: wholeResponse, keepOpen: true})
	x := newExchanger(u.listener.Addr().String())
	x.Exchange(context.Background(), request("one"))
	for deadline := time.Now().Add(5 * time.Second); ; {
		k := x.idle.Load()
		if k == nil || !openWithoutData(k.connection) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the close was not seen")
		}
		time.Sleep(time.Millisecond)
	}
	if a := x.Exchange(context.Background(), request("two")); a.Ran() != answer.Yes {
		t.Errorf("ran %s, reason %s; want a complete response", a.Ran(), a.Reason())
	}
}

// TestCallerDisconnects guards against calls that continue after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	u := newUpstream(t, script{keepOpen: true})
	x := newExchanger(u.listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-u.requests
		cancel()
	}()
	a := x.Exchange(ctx, request("one"))
	if a.Ran() != answer.Maybe || a.Reason() != ReasonCancelled {
		t.Errorf("ran %s, reason %s; want maybe and left", a.Ran(), a.Reason())
	}
	if x.idle.Load() != nil {
		t.Error("the connection is in the idle pool while the upstream works on its request")
	}
}

// TestCallerLeavesBeforeSend guards against GONE: a request that is written although its caller left while the
// connection for it was taken or opened.
func TestCallerLeavesBeforeSend(t *testing.T) {
	u := newUpstream(t, script{response: wholeResponse, keepOpen: true})
	x := newExchanger(u.listener.Addr().String())
	x.Exchange(context.Background(), request("warm"))
	<-u.requests
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		if a := x.Exchange(ctx, request("left")); a.Ran() != answer.No || a.Reason() != ReasonCancelled {
			t.Fatalf("ran %s, reason %s; want no and left", a.Ran(), a.Reason())
		}
	}
	if a := x.Exchange(context.Background(), request("next")); a.Ran() != answer.Yes || x.Opened() != 1 {
		t.Errorf("ran %s on connection %d; want the first connection to be kept", a.Ran(), x.Opened())
	}
	if id := <-u.requests; id != "next" {
		t.Errorf("the upstream got %q", id)
	}
	x.CloseIdleConnections()
}

// TestEarlyResponse guards against an upstream that answers before it has read the whole body and takes the rest of the
// body for a request.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	rest := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 413 No\r\nId: %s\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id"))
		n, _ := io.Copy(io.Discard, r)
		rest <- n
	}()
	x := newExchanger(l.Addr().String())
	const size = 8 << 20 // more than the socket buffers hold
	a := x.Exchange(context.Background(), call.New(call.Fields{RequestID: "one", Method: "POST", Host: "h", Path: "/p", Body: make([]byte, size)}))
	if a.Status() != 413 || a.Ran() != answer.Yes {
		t.Errorf("status %d, ran %s; want the upstream's 413", a.Status(), a.Ran())
	}
	if x.idle.Load() != nil {
		t.Error("the connection is in the idle pool although the body was not sent completely")
	}
	if n := <-rest; n > size {
		t.Errorf("%d bytes followed the headers, the body has %d", n, size)
	}
}

// TestEarlyRefusal guards against a request that waits on a connection behind the unread rest of a refused body: its
// caller may have disconnected before the upstream reads it.
func TestEarlyRefusal(t *testing.T) {
	refusal := "HTTP/1.1 503 No\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name   string
		body   int
		answer string
		opened int64
	}{
		{"small body, refused", 1 << 10, refusal, 1},
		{"large body, refused", 8 << 10, refusal, 2},
		{"large body, answered", 8 << 10, wholeResponse, 1},
	} {
		u := newUpstream(t, script{response: c.answer, keepOpen: true})
		x := newExchanger(u.listener.Addr().String())
		f := request("one").Fields()
		f.Method, f.Body = "POST", make([]byte, c.body)
		x.Exchange(context.Background(), call.New(f))
		x.Exchange(context.Background(), request("two"))
		if x.Opened() != c.opened {
			t.Errorf("%s: %d connections for two requests, want %d", c.name, x.Opened(), c.opened)
		}
		x.CloseIdleConnections()
	}
}

// TestCutAnywhere guards against MIXED: a response that the upstream ends after any of its bytes, by closing or resetting
// the connection, and that counts as complete. A response without a length is complete only if the connection is closed
// behind its head.
func TestCutAnywhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n"
	for _, c := range []struct {
		name, response string
		completeFrom   int // bytes from which a closed connection completes the response
	}{
		{"length", head + "Content-Length: 2\r\n\r\nok", len(head) + len("Content-Length: 2\r\n\r\nok")},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", len(head) + len("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")},
		{"neither", head + "Last: 1\r\n\r\nok", len(head) + len("Last: 1\r\n\r\n")},
	} {
		for n := range len(c.response) + 1 {
			for _, reset := range []bool{false, true} {
				u := newUpstream(t, script{response: c.response[:n], reset: reset})
				x := newExchanger(u.listener.Addr().String())
				a := x.Exchange(t.Context(), request("r"))
				complete := n >= c.completeFrom && (!reset || c.name != "neither")
				if complete && !reset && a.Ran() != answer.Yes {
					t.Errorf("%s, complete after %d bytes: ran %s", c.name, n, a.Ran())
				}
				if !complete && (a.Ran() != answer.Maybe || a.Status() < 500) {
					t.Errorf("%s, %d bytes, reset %v: status %d, ran %s", c.name, n, reset, a.Status(), a.Ran())
				}
			}
		}
	}
}

// TestBodyMemory guards against a large body that is read although there is no memory for it, and against one that holds
// more than it has.
func TestBodyMemory(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name     string
		length   int64 // announced, or -1
		size     int
		held     int64 // by others, of 18 MB
		complete bool
	}{
		{"a small body in a full node", -1, holder.CountedFrom, 18 << 20, true},
		{"a length, room", 8 << 20, 8 << 20, 10 << 20, true},
		{"a length, no room", 8 << 20, 8 << 20, 11 << 20, false},
		{"a length, cut short", 8 << 20, 1 << 20, 0, false},
		{"a length above the limit", 8<<20 + 1, 8<<20 + 1, 0, false},
		{"no length, 200 KB", -1, 200 << 10, 10 << 20, true},
		{"no length, 3 MB", -1, 3 << 20, 10 << 20, true},
		{"no length, the largest", -1, 8 << 20, 10 << 20, true},
		{"no length, above the limit", -1, 8<<20 + 1, 0, false},
		{"no length, no room to grow", -1, 3 << 20, 11 << 20, false},
	} {
		x := newExchanger("")
		x.Holder = holder.New(18 << 20)
		others := x.Holder.Force(c.held)
		var stream io.Reader = strings.NewReader(strings.Repeat("x", c.size))
		if c.length >= 0 {
			stream = io.MultiReader(stream, failingReader{})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		body, hold, err := x.readBody(ctx, newConnection(nil), &http.Response{ContentLength: c.length, Body: io.NopCloser(stream)})
		cancel()
		if (err == nil) != c.complete || err == nil && len(body) != c.size {
			t.Errorf("%s: %d bytes, %v", c.name, len(body), err)
		}
		fmt.Fprintf(&out, "%s: %d bytes held, %v\n", c.name, x.Holder.Used()-c.held, err)
		hold.Release()
		others.Release()
		if n := x.Holder.Used(); n != 0 {
			t.Errorf("%s: %d bytes are held at the end", c.name, n)
		}
	}
	goldie.New(t).Assert(t, "body-memory", []byte(out.String()))
}

// failingReader is a connection that breaks.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
