package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

// brokenConn is a connection whose write fails with writeError when the response has been read, or at once if inline; reads
// return the response and then readError.
type brokenConn struct {
	net.Conn
	response   io.Reader
	writeError error // nil for a write that succeeds, errBlocked for one that does not end by itself
	readError  error
	inline     bool
	read       chan struct{} // closed when the whole response has been read
	unblocked  chan struct{} // closed when a deadline passes or the connection is closed
	once       sync.Once
}

var errBlocked = errors.New("blocked until the connection is closed")

func (c *brokenConn) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	if err == nil {
		return n, nil
	}
	if c.inline {
		return 0, c.readError
	}
	select {
	case <-c.read:
	default:
		close(c.read)
	}
	return 0, c.readError
}

func (c *brokenConn) Write(b []byte) (int, error) {
	if c.writeError == nil {
		return len(b), nil
	}
	if !c.inline {
		<-c.read
	}
	if errors.Is(c.writeError, errBlocked) {
		<-c.unblocked
		return 0, context.DeadlineExceeded
	}
	return 0, &net.OpError{Op: "write", Err: c.writeError}
}

func (c *brokenConn) SetWriteDeadline(time.Time) error { return c.Close() }

func (c *brokenConn) Close() error {
	c.once.Do(func() { close(c.unblocked) })
	return nil
}

func upload(size int) call.Call {
	return call.New(call.Fields{RequestID: "one", Method: "POST", Host: "h", Path: "/p", Body: make([]byte, size)})
}

// TestResetWhileWriting guards against a part of a response that the caller gets as the whole. The kernel reports a reset of
// the connection once, to the write of the request or to the read of the response; the other one sees the connection end
// as after a clean close, which is also the end of a response without a length.
func TestResetWhileWriting(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: one\r\nSigned: 1\r\n"
	bodies := []struct{ name, text string }{
		{"no length", head + "\r\nsome"},
		{"length, part", head + "Content-Length: 9\r\n\r\nsome"},
		{"length, whole", head + "Content-Length: 4\r\n\r\nsome"},
		{"chunks, part", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"},
		{"chunks, whole", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n"},
	}
	ends := []struct {
		name        string
		write, read error
	}{
		{"closed", nil, io.EOF},
		{"closed, upload unread", errBlocked, io.EOF},
		{"closed, then reset", syscall.EPIPE, io.EOF},
		{"reset, seen by the write", syscall.ECONNRESET, io.EOF},
		{"reset, seen by the read", nil, &net.OpError{Op: "read", Err: syscall.ECONNRESET}},
		{"closed by the node", nil, &net.OpError{Op: "read", Err: net.ErrClosed}},
	}
	var out strings.Builder
	for _, size := range []int{4, maxInlineBodyBytes, maxInlineBodyBytes + 1, 4 << 20} {
		for _, b := range bodies {
			for _, e := range ends {
				inline := size <= maxInlineBodyBytes
				if inline && errors.Is(e.write, errBlocked) {
					continue
				}
				c := &brokenConn{
					response: strings.NewReader(b.text), writeError: e.write, readError: e.read, inline: inline,
					read: make(chan struct{}), unblocked: make(chan struct{}),
				}
				if strings.HasSuffix(b.name, "whole") {
					close(c.read) // the end of the connection is not read
				}
				x := newExchanger("")
				a, _ := x.roundTrip(context.Background(), newConnection(c), upload(size), time.Second)
				fmt.Fprintf(&out, "%7d bytes, %-14s %-25s status %d, ran %-5s reason %-8s body %q\n", size, b.name+",", e.name, a.Status(), a.Ran(), a.Reason(), a.Body())
			}
		}
	}
	goldie.New(t).Assert(t, "resets", []byte(out.String()))
}

// TestResetDuringUpload guards against the same with the kernel's own order of events: the upstream reads the header of a
// long upload, sends a part of a response without a length, and resets the connection.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 300
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\nSigned: 1\r\n\r\nsome")
				time.Sleep(time.Duration(i%4) * 500 * time.Microsecond)
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	whole := 0
	for i := range rounds {
		x := newExchanger(l.Addr().String())
		if a := x.Exchange(t.Context(), upload(4<<10<<(i%12))); a.Ran() == answer.Yes {
			whole++
		}
		x.CloseIdleConnections()
	}
	if whole > 0 {
		t.Errorf("%d of %d parts of a response count as whole", whole, rounds)
	}
}

// TestNodeEndsResponse guards against a response without a length that counts as whole since the node itself closed the
// connection, as the caller left or the deadline passed.
func TestNodeEndsResponse(t *testing.T) {
	for _, size := range []int{4, 1 << 20} {
		for _, left := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			want := ReasonTimeout
			if left {
				ctx, cancel = context.WithCancel(t.Context())
				want = ReasonCancelled
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\nSigned: 1\r\n\r\nsome")
				if left {
					time.Sleep(20 * time.Millisecond)
					cancel()
				}
				<-ctx.Done()
				io.Copy(io.Discard, r) // until the node closes the connection
			}()
			x := newExchanger(l.Addr().String())
			a := x.Exchange(ctx, upload(size))
			if a.Ran() != answer.Maybe || a.Reason() != want || len(a.Body()) > 0 {
				t.Errorf("upload of %d bytes, caller left %v: ran %s, reason %s, body %q", size, left, a.Ran(), a.Reason(), a.Body())
			}
			cancel()
			l.Close()
			<-ended
		}
	}
}
