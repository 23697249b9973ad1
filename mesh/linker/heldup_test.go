package linker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

// runLog collects the calls that a node has run.
type runLog struct {
	mutex sync.Mutex
	calls []call.Call
}

// Serve runs the call unless its caller has left, as the runner does.
func (r *runLog) Serve(ctx context.Context, c call.Call) answer.Answer {
	if ctx.Err() != nil {
		return answer.New(answer.Fields{Status: 503, Ran: answer.No})
	}
	r.mutex.Lock()
	r.calls = append(r.calls, c)
	r.mutex.Unlock()
	return echo(ctx, call.New(call.Fields{}))
}

func (r *runLog) find(id string) (call.Call, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := slices.IndexFunc(r.calls, func(c call.Call) bool { return c.RequestID() == id })
	if i < 0 {
		return call.Call{}, false
	}
	return r.calls[i], true
}

func (n *node) linkCount() (count int) {
	n.links.Range(func(any, any) bool { count++; return true })
	return count
}

// onItsWay reports whether the link has a call whose time of sending is settled: it is being written, or, on a link for
// bodies, waits for the peer's grant.
func onItsWay(k *link) (found bool) {
	k.pendingCalls.Range(func(_, p any) bool {
		found = k.purpose == bodies || p.(*pendingCall).state.Load() == stateWriting
		return !found
	})
	return found
}

func namedCall(id, body string) call.Call {
	return call.New(call.Fields{RequestID: id, Method: "POST", Path: "/", Body: []byte(body)})
}

// TestHeldUpCalls guards against GONE: calls that run although their callers left while the path between two nodes was
// silent. Each case stalls the path, and a call is sent meanwhile.
func TestHeldUpCalls(t *testing.T) {
	const stall, patience = 2 * maxTransit, time.Minute
	offered := strings.Repeat("b", offerMinBytes) // small enough for one piece
	cases := []struct {
		name    string
		earlier int    // calls on the link before the path is stalled
		body    string // of the call
		granted bool   // the call's body is granted before the path is stalled
		leaves  bool   // the caller leaves before the path is back
		lost    bool   // the sender's end of the link is closed before the path is back
	}{
		{name: "first call of the link, its caller waits"},
		{name: "first call of the link, its caller leaves", leaves: true},
		{name: "later call, its caller waits", earlier: 3},
		{name: "later call, its caller leaves", earlier: 3, leaves: true},
		{name: "first call of the link, which is given up", lost: true},
		{name: "later call, the link is given up", earlier: 3, lost: true},
		{name: "offered call, its caller leaves", body: offered, leaves: true},
		{name: "granted body, its caller waits", body: offered, granted: true},
		{name: "granted body, its caller leaves", body: offered, granted: true, leaves: true},
	}
	var out strings.Builder
	for _, c := range cases {
		runs := &runLog{}
		p := newProxy(t)
		a, b := newNode(t), newNode(t, withServe(runs.Serve))
		p.target.Store(b.Address())
		purpose := calls
		if c.body != "" {
			purpose = bodies
		}
		k, err := a.peer(p.address()).dial(t.Context(), purpose)
		if err != nil {
			t.Fatal(err)
		}
		for range c.earlier {
			if _, err := a.Call(t.Context(), p.address(), namedCall("earlier", "")); err != nil {
				t.Fatal(err)
			}
		}
		g := newGate(b)
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		ended := make(chan error, 1)
		begin := func() {
			go func() {
				_, err := a.Call(ctx, p.address(), namedCall("held up", c.body))
				ended <- err
			}()
		}
		if c.granted {
			begin()
			eventually(t, "the offer arrives", func() bool { return g.acquires.Load() == 1 })
		}
		p.stall()
		if !c.granted {
			begin()
			eventually(t, "the call is on its way", func() bool { return onItsWay(k) })
		}
		g.open <- struct{}{}
		time.Sleep(stall)
		if c.leaves {
			cancel()
			<-ended
		}
		if c.lost {
			k.conn.Close()
			<-ended
		}
		p.resume()
		if !c.leaves && !c.lost {
			if err := <-ended; err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		// A call that is sent now is read after all earlier frames of its link.
		if !c.lost {
			if _, err := a.Call(t.Context(), p.address(), namedCall("after", "")); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		eventually(t, "a lost link ends", func() bool { return !c.lost || b.linkCount() == 0 })
		eventually(t, "all handlers end", func() bool { return b.runningCalls.Load() == 0 })
		cancel()
		ran, ok := runs.find("held up")
		fmt.Fprintf(&out, "%-44s ran %v", c.name, ok)
		if ok {
			fmt.Fprintf(&out, ", delay taken off the time left: %v", time.Duration(ran.TimeLeft())*time.Millisecond <= patience-maxTransit)
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "heldup", []byte(out.String()))
}

// connect returns both ends of a WebSocket connection.
func connect(t *testing.T) (near, far *websocket.Conn) {
	t.Helper()
	accepted := make(chan *websocket.Conn, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, err := new(websocket.Upgrader).Upgrade(w, r, nil); err == nil {
			accepted <- c
		}
	}))
	t.Cleanup(server.Close)
	near, _, err := websocket.DefaultDialer.Dial("ws"+strings.TrimPrefix(server.URL, "http"), nil)
	if err != nil {
		t.Fatal(err)
	}
	return near, <-accepted
}

// TestPongBehindCancel guards against GONE: a pong that overtakes the cancel frame of a caller that has left, so that a
// call that was held up seems confirmed and runs. The caller's link gets a ping while its writer has not run since the
// caller left; a probe behind the ping shows that the reader has handled it.
func TestPongBehindCancel(t *testing.T) {
	near, far := connect(t)
	k := newLink(newNode(t).Linker, nil, near, calls, true, 1, "", time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	ends, running := make(chan error), 1
	go func() { ends <- k.readLoop(ctx) }()
	k.sendCancel(7)
	if err := far.WriteControl(websocket.PingMessage, make([]byte, 8), time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := far.WriteControl(websocket.PingMessage, nil, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var arrived []string
	far.SetPongHandler(func(payload string) error {
		if payload == "" {
			running++
			go func() { ends <- k.writeLoop(ctx) }()
			return nil
		}
		arrived = append(arrived, "pong")
		return io.EOF
	})
	for {
		if _, _, err := far.ReadMessage(); err != nil {
			break
		}
		arrived = append(arrived, "cancel")
	}
	cancel()
	near.Close()
	far.Close()
	for range running {
		<-ends
	}
	goldie.New(t).Assert(t, "pong", []byte(strings.Join(arrived, "\n")+"\n"))
}
