package receiver

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/evictor"
	"wisteriaspoke.example/mesh/pipeliner"
)

// dropLogInterval is the shortest time between two log lines on connections that were dropped.
const dropLogInterval = time.Second

var (
	slowDropped    = metrics.GetOrRegisterCounter("caller.slow", nil)
	surplusDropped = metrics.GetOrRegisterCounter("caller.surplus", nil)
)

// connections are the open connections of callers.
type connections struct {
	max int // open at a time, or 0 for no bound; set before use

	mutex    sync.Mutex                    // guards the following
	open     map[*pipeliner.Pipeliner]bool // the value is false once the connection was dropped
	dropped  int                           // since the last log line
	loggedAt time.Time
}

func (c *connections) add(p *pipeliner.Pipeliner) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = map[*pipeliner.Pipeliner]bool{}
	}
	c.open[p] = true
}

func (c *connections) remove(p *pipeliner.Pipeliner) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, p)
}

// count returns the number of connections that have not ended.
func (c *connections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// all returns the connections that have not ended.
func (c *connections) all() []*pipeliner.Pipeliner {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// full reports whether as many connections are open as may be.
func (c *connections) full() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.max == 0 || len(c.open) < c.max {
		return false
	}
	n := 0
	for _, open := range c.open {
		if open {
			n++
		}
	}
	return n >= c.max
}

// drop closes the connection that choose selects. It returns the state of the connection and how many were dropped since
// the last log line, which is 0 if no line is due, or false if choose selects none.
func (c *connections) drop(choose func(time.Time, []evictor.Connection) int) (state evictor.Connection, log int, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ps []*pipeliner.Pipeliner
	var states []evictor.Connection
	for p, open := range c.open {
		if open {
			ps, states = append(ps, p), append(states, p.State())
		}
	}
	now := time.Now()
	i := choose(now, states)
	if i < 0 {
		return evictor.Connection{}, 0, false
	}
	c.open[ps[i]] = false
	ps[i].Drop()
	c.dropped++
	if now.Sub(c.loggedAt) >= dropLogInterval {
		log, c.dropped, c.loggedAt = c.dropped, 0, now
	}
	return states[i], log, true
}

// dropSlowest closes the connection of the slowest reader, if there is a slow one, as memory is short.
func (r *Receiver) dropSlowest() {
	state, log, ok := r.connections.drop(evictor.SlowestReader)
	if !ok {
		return
	}
	slowDropped.Inc(1)
	r.logDropped("memory", state, log)
}

// makeRoom closes a connection if as many are open as may be, and reports whether one more may be opened.
func (r *Receiver) makeRoom() bool {
	if !r.connections.full() {
		return true
	}
	state, log, ok := r.connections.drop(evictor.Dispensable)
	surplusDropped.Inc(1)
	if ok {
		r.logDropped("connections", state, log)
	}
	return ok
}

func (r *Receiver) logDropped(short string, state evictor.Connection, count int) {
	if count > 0 {
		r.log.Warn("caller's connection closed", "short", short, "state", state.String(), "age", time.Since(state.Since()).Milliseconds(),
			"read", state.Read(), "closed", count, "held", r.holder.Used())
	}
}
