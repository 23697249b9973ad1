package linker

import "sync/atomic"

// group counts goroutines of one owner, which learns of their end together. A report of each one woke the owner for
// every call.
type group struct {
	state atomic.Int64  // running goroutines, plus closedGroup once no more may start
	empty chan struct{} // closed after the group is closed and all goroutines have ended
}

const closedGroup = 1 << 40

func newGroup() *group { return &group{empty: make(chan struct{})} }

// start runs f in a goroutine and reports false if the group is closed.
func (g *group) start(f func()) bool {
	for {
		n := g.state.Load()
		if n >= closedGroup {
			return false
		}
		if g.state.CompareAndSwap(n, n+1) {
			break
		}
	}
	go func() {
		defer g.ended()
		f()
	}()
	return true
}

func (g *group) ended() {
	if g.state.Add(-1) == closedGroup {
		close(g.empty)
	}
}

// close lets no more goroutines start; it can be called again.
func (g *group) close() {
	if g.state.Or(closedGroup) == 0 {
		close(g.empty)
	}
}
