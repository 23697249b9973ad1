package linker

import "sync/atomic"

// group counts the goroutines of one owner; each reports its end on a channel that the owner receives from.
type group struct {
	state atomic.Int64 // running goroutines, plus groupClosed once no more may start
	ends  chan struct{}
}

// groupClosed is above any number of goroutines.
const groupClosed = 1 << 40

func newGroup() *group { return &group{ends: make(chan struct{})} }

// start runs f in a goroutine and reports false if the group is closed.
func (g *group) start(f func()) bool {
	for {
		n := g.state.Load()
		if n >= groupClosed {
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

// ended must be called by the owner for each value received from ends.
func (g *group) ended() { g.state.Add(-1) }

// running returns the number of goroutines whose end the owner has not yet received.
func (g *group) running() int64 { return g.state.Load() &^ groupClosed }

// close lets start refuse further goroutines; it must be called only once.
func (g *group) close() { g.state.Add(groupClosed) }
