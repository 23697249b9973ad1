package linker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
)

// TestDrainLosesNoCall guards against calls that are lost, or wrongly end as "may have run", when a node drains under
// load.
func TestDrainLosesNoCall(t *testing.T) {
	var runs atomic.Int64
	a, b := newNode(t), newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		runs.Add(1)
		return echo(ctx, c)
	}))
	var answered atomic.Int64
	var callers sync.WaitGroup
	loaded := make(chan struct{}, 16)
	for range 16 {
		callers.Go(func() {
			for n := 0; ; n++ {
				_, err := a.Call(t.Context(), b.Address(), newCall("x"))
				if err != nil {
					if fault.KindOf(err) != fault.NotRun {
						t.Errorf("a drain ended a call with %v", err)
					}
					return
				}
				answered.Add(1)
				if n == 20 {
					loaded <- struct{}{}
				}
			}
		})
	}
	for range 16 {
		<-loaded
	}
	if err := b.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if runs.Load() != answered.Load() {
		t.Errorf("%d calls ran, %d were answered", runs.Load(), answered.Load())
	}
}

// TestNoCallAfterClosed guards against a call that is written after typeClosed, which says that none follows; the drain
// test rarely produces this case.
func TestNoCallAfterClosed(t *testing.T) {
	a, b := newNode(t), newNode(t)
	if _, err := a.Call(t.Context(), b.Address(), newCall("")); err != nil {
		t.Fatal(err)
	}
	k, _ := a.peer(b.Address()).leastLoaded(calls)
	if err := k.handleFrame(t.Context(), frame{Type: typeClosing}); err != nil {
		t.Fatal(err)
	}
	for range 100 { // calls queued before the writer has written typeClosed may still be written
		id := k.ids.Add(1)
		p := newPendingCall()
		k.pendingCalls.Store(id, p)
		k.queue <- outgoingFrame{data: must(k.encodeCall(t.Context(), typeCall, id, newCall(""))).Bytes(), call: p}
		select {
		case <-p.declined:
			return
		case <-p.done:
		}
	}
	t.Error("calls are still written")
}

// TestDrainWaitsForOwnCalls guards against a drain that aborts the node's own calls.
func TestDrainWaitsForOwnCalls(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	a, b := newNode(t), newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		close(arrived)
		<-release
		return echo(ctx, c)
	}))
	result := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), b.Address(), newCall(""))
		result <- err
	}()
	<-arrived
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(t.Context()) }()
	close(release)
	if err := errors.Join(<-result, <-drained); err != nil {
		t.Error(err)
	}
	_, err := a.Call(t.Context(), b.Address(), newCall(""))
	wantKind(t, err, fault.NotRun)
}
