package prober

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestStates guards against a connection that is taken for open after its peer has gone, or for ended while it is open.
func TestStates(t *testing.T) {
	cases := []struct {
		name   string
		change func(local, peer *net.TCPConn)
		want   State // to wait for, as the peer's change takes a moment to arrive
	}{
		{"open", func(_, _ *net.TCPConn) {}, Quiet},
		{"data", func(_, peer *net.TCPConn) { io.WriteString(peer, "x") }, Data},
		{"data, then closed", func(_, peer *net.TCPConn) {
			io.WriteString(peer, "x")
			peer.Close()
		}, Data},
		{"closed by the peer", func(_, peer *net.TCPConn) { peer.Close() }, Ended},
		{"half closed by the peer", func(_, peer *net.TCPConn) { peer.CloseWrite() }, Ended},
		{"reset by the peer", func(_, peer *net.TCPConn) {
			peer.SetLinger(0)
			peer.Close()
		}, Ended},
		{"closed here", func(local, _ *net.TCPConn) { local.Close() }, Ended},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var out strings.Builder
	for _, c := range cases {
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		local, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.change(local.(*net.TCPConn), peer.(*net.TCPConn))
		for end := time.Now().Add(5 * time.Second); Probe(local) != c.want && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		fmt.Fprintf(&out, "%-24s %s\n", c.name, Probe(local))
		local.Close()
		peer.Close()
	}
	pipe, _ := net.Pipe()
	fmt.Fprintf(&out, "%-24s %s\n", "not of TCP", Probe(pipe))
	goldie.New(t).Assert(t, "states", []byte(out.String()))
}
