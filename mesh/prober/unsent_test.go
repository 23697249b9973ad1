package prober

import (
	"net"
	"testing"
	"time"
)

// TestUnacknowledged guards against a peer that reads nothing and seems to have read what the system holds for it.
func TestUnacknowledged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if n := Unacknowledged(near); n != 0 {
		t.Errorf("%d bytes before any was written", n)
	}
	near.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, _ := near.Write(make([]byte, 32<<20))
	if n := Unacknowledged(near); n == 0 || n > int64(written) {
		t.Errorf("%d bytes of %d", n, written)
	}
	near.Close()
	if n := Unacknowledged(near); n != 0 {
		t.Errorf("%d bytes after the end", n)
	}
}
