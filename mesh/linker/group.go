package linker

import "sync/atomic"

// group counts goroutines of one owner; each reports its end on a channel that the owner reads.
type group struct {
	state atomic.Int64 // running goroutines, plus closedGroup once no more may start
	ends  chan struct{}
}

const closedGroup = 1 << 40

func newGroup() *group { return &group{ends: make(chan struct{})} }

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
		defer func() { g.ends <- struct{}{} }()
		f()
	}()
	return true
}

// ended accounts for one value received from ends.
func (g *group) ended() { g.state.Add(-1) }

// running returns the number of goroutines whose end the owner has not read.
func (g *group) running() int64 { return g.state.Load() &^ closedGroup }

// close lets no more goroutines start; called once.
func (g *group) close() { g.state.Add(closedGroup) }
