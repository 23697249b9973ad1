package linker

import (
	"context"
	"testing"
	"time"
)

// TestNoSpinAfterStop guards against a sender that tries to connect in a busy loop after its node has stopped: with one
// core it keeps the process from ending.
func TestNoSpinAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{now: time.Now, random: func() float64 { return 0 }, ctx: ctx, tasks: newGroup()}
	l.tasks.close()
	cancel()
	if newPeer(l, "127.0.0.1:1").connectControl(ctx) {
		t.Error("a stopped node would try to connect again at once")
	}
}
