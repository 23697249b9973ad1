package linker

import (
	"sync"
	"testing"
)

// Guards against an owner that goes on while a goroutine runs, or waits for ever after the last one.
func TestGroup(t *testing.T) {
	for _, n := range []int{0, 1, 50} {
		g := newGroup()
		release := make(chan struct{})
		for range n {
			if !g.start(func() { <-release }) {
				t.Fatal("an open group refused to start")
			}
		}
		// Close is called again when a drained link ends.
		var closers sync.WaitGroup
		for range 2 {
			closers.Go(g.close)
		}
		closers.Wait()
		if g.start(func() {}) {
			t.Error("a closed group started a goroutine")
		}
		select {
		case <-g.empty:
			if n > 0 {
				t.Errorf("empty with %d goroutines", n)
			}
		default:
			if n == 0 {
				t.Error("not empty without goroutines")
			}
		}
		close(release)
		<-g.empty
	}
}
