package receiver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

// TestConnectionsAreBounded guards against callers that use up the descriptors: beyond the bound, the connection that has
// been idle for the longest time makes room, and none does while all have requests that run.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	f := &fakeParts{plan: testPlan(), forward: func(ctx context.Context, c call.Fields) answer.Answer {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := startOn(t, f, l, func(r *Receiver) { r.connections.max = 3 })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		return c
	}
	open := func(c net.Conn) bool {
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		n, ok := err.(net.Error)
		return ok && n.Timeout()
	}
	var cs []net.Conn
	for range 3 {
		cs = append(cs, dial())
		time.Sleep(20 * time.Millisecond)
	}
	cs = append(cs, dial())
	if open(cs[0]) || !open(cs[1]) || !open(cs[2]) || !open(cs[3]) {
		t.Error("not the first of four idle connections was closed")
	}
	for _, c := range cs[1:] {
		io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
	}
	for begun := time.Now(); r.active.Load() < 3 && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if open(dial()) {
		t.Error("a fourth connection beside three with requests that run")
	}
	close(release)
	for _, c := range cs[1:] {
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Errorf("a running request got no answer: %v", err)
		}
	}
}

// TestSlowestReaderIsDropped guards against a caller that does not read a large answer and keeps its memory from others.
func TestSlowestReaderIsDropped(t *testing.T) {
	h := holder.New(20 << 20)
	f := &fakeParts{plan: testPlan(), forward: func(ctx context.Context, c call.Fields) answer.Answer {
		hold, ok := h.Take(ctx, holder.Claim{Bytes: 12 << 20, Patience: time.Millisecond, Wait: 10 * time.Second})
		if !ok {
			return answer.New(answer.Fields{Status: 502, Ran: answer.Maybe})
		}
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: make([]byte, 12<<20), Hold: hold})
	}}
	_, address := startServer(t, f, func(r *Receiver) {
		r.holder = h
		h.SetReclaim(r.dropSlowest)
	})
	ask := func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		return c
	}
	ask()
	for begun := time.Now(); h.Used() == 0 && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	second := ask()
	q, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil || q.StatusCode != 200 {
		t.Fatalf("the second caller: %v", err)
	}
	if n, err := io.Copy(io.Discard, q.Body); n != 12<<20 || err != nil {
		t.Errorf("the second caller got %d bytes, %v", n, err)
	}
	if slowDropped.Count() == 0 {
		t.Error("no connection was counted as dropped")
	}
}
