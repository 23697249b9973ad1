package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/grace"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
)

// pipelinePlan has a rule whose requests may be repeated and one whose requests may not.
func pipelinePlan() *plan.Plan {
	return plan.New(3, plan.Limits{MaxBodyBytes: 10}, nil, []*rule.Rule{
		rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second, Idempotent: true}),
		rule.New(rule.Fields{Name: "u", Host: "h", Prefix: "/u/", Timeout: 5 * time.Second}),
	})
}

// TestPipelineLoad answers the load of ten callers that send eight requests ahead each, the first of them slow: no request
// waits for the ones ahead of it to run, and the answers keep their order.
func TestPipelineLoad(t *testing.T) {
	const callers, ahead = 10, 8
	var running atomic.Int64
	release := make(chan struct{})
	f := &fakeParts{plan: pipelinePlan(), forward: func(ctx context.Context, c call.Fields) answer.Answer {
		if running.Add(1) == callers*ahead {
			close(release)
		}
		select {
		case <-release:
		case <-time.After(3 * time.Second):
		}
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte(c.RequestID)})
	}}
	_, address := startServer(t, f)
	ends := make(chan error, callers)
	for i := range callers {
		go func() { ends <- askAhead(address, i, ahead) }()
	}
	for range callers {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	if n := running.Load(); n != callers*ahead {
		t.Errorf("%d requests ran, want %d", n, callers*ahead)
	}
}

// askAhead sends n requests at once and checks that the answers come in order, each within two seconds.
func askAhead(address string, caller, n int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	var q strings.Builder
	for i := range n {
		fmt.Fprintf(&q, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: %d-%d\r\n\r\n", caller, i)
	}
	io.WriteString(c, q.String())
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	r := bufio.NewReader(c)
	for i := range n {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return fmt.Errorf("caller %d, answer %d: %w", caller, i, err)
		}
		body, err := io.ReadAll(a.Body)
		if want := fmt.Sprintf("%d-%d", caller, i); err != nil || string(body) != want {
			return fmt.Errorf("answer %q, error %v, want %s", body, err, want)
		}
	}
	return nil
}

// TestCallerDisconnectsBehind guards against GONE: calls that run on after their caller has left while a further request
// waited behind them.
func TestCallerDisconnectsBehind(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan time.Time, 2)
	f := &fakeParts{plan: pipelinePlan(), forward: func(ctx context.Context, _ call.Fields) answer.Answer {
		started <- struct{}{}
		select {
		case <-ctx.Done():
		case <-time.After(3 * time.Second):
		}
		ended <- time.Now()
		return answer.New(answer.Fields{Status: 504, Ran: answer.Maybe})
	}}
	_, address := startServer(t, f)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	io.WriteString(c, "GET /a/y HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	left := time.Now()
	c.Close()
	if took := (<-ended).Sub(left); took > 500*time.Millisecond {
		t.Errorf("the call ended %v after its caller had left", took)
	}
}

// TestDrainEndsInTime guards against LOST: a planned stop that takes a request late and cuts it at the end without an
// answer, or passes on one that cannot end in time.
func TestDrainEndsInTime(t *testing.T) {
	forwarded := make(chan string, 3)
	f := &fakeParts{plan: plan.New(3, plan.Limits{MaxBodyBytes: 10}, nil, []*rule.Rule{
		rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second, Objective: 700 * time.Millisecond}),
	}), forward: func(ctx context.Context, c call.Fields) answer.Answer {
		forwarded <- c.RequestID
		<-ctx.Done()
		return answer.New(answer.Fields{Status: 504, Ran: answer.Maybe})
	}}
	period := grace.New(8 * time.Second / 7) // calls end after 1 s
	r, address := startServer(t, f, func(r *Receiver) { r.grace = period })
	before := make(chan string, 1)
	go func() { before <- get(address, "before") }()
	if got := <-forwarded; got != "before" {
		t.Fatalf("forwarded %s", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), period.Drain())
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- r.Drain(ctx) }()
	for !r.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(350 * time.Millisecond)
	if got := get(address, "late"); got != "503 close true" {
		t.Errorf("a request that cannot end in time ends with %s", got)
	}
	if got := <-before; got != "504 close true" {
		t.Errorf("the request in progress at the end of the drain ends with %s", got)
	}
	if err := <-drained; err != nil {
		t.Errorf("the drain ends with %v", err)
	}
	if len(forwarded) > 0 {
		t.Errorf("%s was forwarded", <-forwarded)
	}
}

// TestStopWaitsForWork guards against LOST: a stopping node that breaks off a request although its upstream answers before the
// last sixth of the grace period, or that is still there at its end.
func TestStopWaitsForWork(t *testing.T) {
	period := grace.New(3 * time.Second)
	started := make(chan struct{})
	stop := make(chan time.Time, 1)
	f := &fakeParts{plan: testPlan(), forward: func(ctx context.Context, _ call.Fields) answer.Answer {
		close(started)
		work := time.NewTimer(time.Until((<-stop).Add(2480 * time.Millisecond)))
		defer work.Stop()
		select {
		case <-work.C:
			return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
		case <-ctx.Done():
			return answer.New(answer.Fields{Status: 502, Ran: answer.Maybe})
		}
	}}
	r, address := startServer(t, f, func(r *Receiver) { r.grace = period })
	result := make(chan string, 1)
	go func() { result <- get(address, "long") }()
	<-started
	begun := time.Now()
	stop <- begun
	ctx, cancel := context.WithTimeout(t.Context(), period.Drain())
	defer cancel()
	if err := r.Drain(ctx); err != nil {
		t.Errorf("the drain ends with %v", err)
	}
	if got := <-result; got != "200 close true" {
		t.Errorf("a request whose upstream answers 2.48 s after the signal ends with %s, %v after it", got, time.Since(begun))
	}
}
