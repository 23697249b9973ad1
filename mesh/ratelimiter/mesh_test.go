package ratelimiter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/granter"
	"wisteriaspoke.example/mesh/quota"
	"wisteriaspoke.example/mesh/spender"
)

const (
	step       = 5 * time.Millisecond
	detectTime = 300 * time.Millisecond // until a node that is cut off no longer counts as alive
)

var testBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// simMesh runs the decisions of many nodes in virtual time, with clocks that have nothing to do with each other.
type simMesh struct {
	bounds quota.Bounds
	now    time.Duration
	random *rand.Rand
	nodes  []*simNode
	queue  simQueue
	cut    map[[2]int]bool
	delay  func() time.Duration // added to the latency of a message
	// addresses is the number of nodes that one knows or tries to reach.
	addresses func(n *simNode) int
	// notRun is the chance that a request is admitted and then does not run.
	notRun     float64
	someNotRun bool
	limits     []quota.Limit
	runs       map[string][]time.Duration // by tenant
	// refusals holds the times of refused requests by tenant, wrong those of tenants that a central counter does not limit.
	refusals map[string][]time.Duration
	wrong    map[string][]time.Duration
	counters map[string]*counter
	messages int
}

// counter is a naive central counter: one bucket of which all nodes know at once.
type counter struct {
	level     float64
	at        time.Duration
	refusedAt time.Duration
	refused   bool
}

// take reports whether the tenant is below its limit: the counter admits the request, and has admitted all others for
// the length of a window.
func (c *counter) take(l quota.Limit, now time.Duration) bool {
	c.level, c.at = min(l.Burst, c.level+l.Rate*(now-c.at).Seconds()), now
	if c.level < 1 {
		c.refusedAt, c.refused = now, true
		return false
	}
	c.level--
	return !c.refused || now-c.refusedAt > testBounds.Window
}

type simNode struct {
	index       int
	address     string
	offset      time.Duration // of its clock
	startedAt   time.Duration
	incarnation uint64
	spender     *spender.Spender
	granter     *granter.Granter
	frozenTill  time.Duration
	down        bool
	leaving     bool // it has said that it stops
	lastSeen    map[int]time.Duration
	polledAt    time.Duration
	waiting     []simWaiter
	returns     []simReturn
}

type simWaiter struct {
	account  *spender.Account
	waiter   *spender.Waiter
	deadline time.Duration
	central  bool // a central counter does not limit its tenant
}

// simReturn is the token of a request that did not run.
type simReturn struct {
	account *spender.Account
	at      time.Duration
}

type simMessage struct {
	at       time.Duration
	from, to int
	order    int
	body     any
}

type simQueue []simMessage

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simMessage)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimMesh(b quota.Bounds, nodes int, limits []quota.Limit, seed uint64) *simMesh {
	m := &simMesh{
		bounds: b,
		random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, limits: limits,
		runs: map[string][]time.Duration{}, refusals: map[string][]time.Duration{},
		wrong: map[string][]time.Duration{}, counters: map[string]*counter{},
		delay: func() time.Duration { return 0 },
	}
	m.addresses = func(n *simNode) int {
		count := 0
		for _, o := range m.nodes {
			if o == n || !o.leaving || m.cut[[2]int{min(o.index, n.index), max(o.index, n.index)}] {
				count++
			}
		}
		return count
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &simNode{index: i, address: fmt.Sprintf("10.0.0.%d:7600", i)})
		m.start(m.nodes[i])
	}
	return m
}

func (m *simMesh) start(n *simNode) {
	n.incarnation++
	if n.offset == 0 {
		n.offset = time.Duration(m.random.Int64N(int64(1000 * time.Second)))
	}
	n.spender = spender.New(m.bounds, n.address, n.incarnation, n.clock(m))
	n.granter = granter.New(m.bounds, n.incarnation)
	n.spender.SetLimits(m.limits)
	n.granter.SetLimits(m.limits, n.clock(m))
	n.startedAt = m.now
	n.leaving, n.down, n.frozenTill, n.lastSeen, n.waiting, n.polledAt = false, false, 0, map[int]time.Duration{}, nil, 0
	n.returns = nil
}

func (n *simNode) clock(m *simMesh) time.Duration { return m.now + n.offset }

func (n *simNode) runs(m *simMesh) bool { return !n.down && m.now >= n.frozenTill }

func (m *simMesh) connected(a, b *simNode) bool {
	return !m.cut[[2]int{min(a.index, b.index), max(a.index, b.index)}] && !a.down && !b.down
}

func (m *simMesh) setLimits(ls []quota.Limit) {
	m.limits = ls
	for _, n := range m.nodes {
		n.spender.SetLimits(ls)
		n.granter.SetLimits(ls, n.clock(m))
	}
}

func (m *simMesh) send(from *simNode, address string, body any) {
	i := slices.IndexFunc(m.nodes, func(n *simNode) bool { return n.address == address })
	to := m.nodes[i]
	if to == from {
		m.deliver(from, to, body)
		return
	}
	m.messages++
	latency := time.Millisecond
	if from.index%3 != to.index%3 {
		latency = 20 * time.Millisecond
	}
	heap.Push(&m.queue, simMessage{m.now + latency + m.delay(), from.index, to.index, m.messages, body})
}

func (m *simMesh) deliver(from, to *simNode, body any) {
	switch b := body.(type) {
	case *quota.Report:
		to.spender.Members().Hear(int(b.NodeCount), to.clock(m))
		if g := to.granter.Handle(from.address, b, to.clock(m)); g != nil {
			g.NodeCount = uint32(to.spender.Members().Known(to.clock(m)))
			m.send(to, from.address, g)
		}
	case *quota.Grant:
		to.spender.Handle(from.address, b, to.clock(m))
		if b.Released {
			to.polledAt = 0
		}
	}
}

// advance runs the mesh for a time; each calls arrive for every step.
func (m *simMesh) advance(d time.Duration, arrive func()) {
	for end := m.now + d; m.now < end; m.now += step {
		var held []simMessage
		for len(m.queue) > 0 && m.queue[0].at <= m.now {
			x := heap.Pop(&m.queue).(simMessage)
			from, to := m.nodes[x.from], m.nodes[x.to]
			switch {
			case to.down || m.cut[[2]int{min(x.from, x.to), max(x.from, x.to)}] && m.random.IntN(2) == 0:
			case m.now < to.frozenTill:
				x.at = to.frozenTill
				held = append(held, x)
			default:
				m.deliver(from, to, x.body)
			}
		}
		for _, x := range held {
			heap.Push(&m.queue, x)
		}
		for _, n := range m.nodes {
			if n.runs(m) {
				m.run(n)
			}
		}
		if arrive != nil {
			arrive()
		}
	}
}

func (m *simMesh) run(n *simNode) {
	if m.now-n.polledAt >= pollInterval || n.polledAt == 0 {
		n.polledAt = m.now
		var alive []string
		for _, o := range m.nodes {
			if o == n {
				continue
			}
			if m.connected(n, o) && o.runs(m) {
				n.lastSeen[o.index] = m.now
			}
			if at, ok := n.lastSeen[o.index]; ok && m.now-at < detectTime {
				alive = append(alive, o.address)
				n.spender.Members().See(o.address, o.leaving, m.now-o.startedAt, n.clock(m))
			}
		}
		n.spender.Members().SetAddresses(m.addresses(n), n.clock(m))
		n.spender.SetNodes(alive, n.clock(m))
	}
	for _, o := range n.spender.Due(n.clock(m)) {
		m.send(n, o.Owner, o.Report)
	}
	kept := n.waiting[:0]
	for _, w := range n.waiting {
		select {
		case <-w.waiter.Served():
			m.record(n, w.account)
			continue
		default:
		}
		if m.now < w.deadline {
			kept = append(kept, w)
		} else if w.account.Leave(w.waiter) {
			m.record(n, w.account)
		} else {
			m.refuse(n, w.account, w.central)
		}
	}
	n.waiting = kept
	n.returns = slices.DeleteFunc(n.returns, func(r simReturn) bool {
		// A node that was suspended meanwhile has exceeded the time in which tokens are credited.
		if due := m.now >= r.at; due && m.now-r.at < step {
			r.account.Return()
		}
		return m.now >= r.at
	})
}

// record counts a request that was admitted.
func (m *simMesh) record(n *simNode, a *spender.Account) {
	if m.random.Float64() < m.notRun {
		m.someNotRun = true
		n.returns = append(n.returns, simReturn{a, m.now + time.Duration(m.random.Int64N(int64(quota.ReturnTerm)))})
		return
	}
	m.runs[a.Name()] = append(m.runs[a.Name()], m.now)
}

func (m *simMesh) refuse(n *simNode, a *spender.Account, central bool) {
	if central {
		m.wrong[a.Name()] = append(m.wrong[a.Name()], m.now)
	}
	a.Refuse(n.clock(m), m.random.Float64())
	m.refusals[a.Name()] = append(m.refusals[a.Name()], m.now)
}

// request makes one request of a tenant at a node.
func (m *simMesh) request(n *simNode, name string) {
	if !n.runs(m) {
		return
	}
	a := n.spender.Existing(name)
	central := false
	for _, l := range m.limits {
		if l.Name == name {
			if m.counters[name] == nil {
				m.counters[name] = &counter{level: l.Burst, at: m.now}
			}
			central = m.counters[name].take(l, m.now)
		}
	}
	if a.Take(n.clock(m)) {
		m.record(n, a)
		return
	}
	if w := a.Wait(n.clock(m), maxPatience); w != nil {
		n.waiting = append(n.waiting, simWaiter{a, w, m.now + maxPatience, central})
		return
	}
	m.refuse(n, a, central)
}

// arrivals returns a function that makes requests at random times with the rate at the nodes.
func (m *simMesh) arrivals(name string, rate float64, nodes []int) func() {
	return func() {
		for mean := rate * step.Seconds(); mean > 0; mean-- {
			if m.random.Float64() < mean {
				m.request(m.nodes[nodes[m.random.IntN(len(nodes))]], name)
			}
		}
	}
}

// excess returns by how much the requests that ran exceed what may run in the worst window, or a value of at most 0. That
// is less than the bound, of which a part is left for nodes that do not know the number of nodes. limit returns the highest
// limit that was known in a window or the one before it.
func (m *simMesh) excess(name string, limit func(from, to time.Duration) quota.Limit) (worst float64, at time.Duration) {
	runs := m.runs[name]
	first := 0
	worst = -1
	for i, t := range runs {
		for runs[first] <= t-m.bounds.Window {
			first++
		}
		l := limit(t-2*m.bounds.Window, t)
		allowed := l.Rate*m.bounds.Window.Seconds() + m.bounds.Stock(l)
		if m.someNotRun {
			allowed += m.bounds.Returns(l)
		}
		if over := float64(i-first+1) - allowed; over > worst {
			worst, at = over, t
		}
	}
	return worst, at
}

// between counts the times within a period.
func between(ts []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range ts {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
