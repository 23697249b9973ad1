package revalidator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/message"
)

const (
	step        = 10 * time.Millisecond
	revokeAfter = 5 * time.Second
	aliveFor    = 2600 * time.Millisecond // after which a silent node counts as gone
)

// host is one node with its clock, its part of the store's reads and the gossip that brings configurations.
type host struct {
	*distributor
	sim        *simulation
	name       string
	offset     time.Duration
	rate       float64       // by which the clock is faster
	stopped    time.Duration // for which the clock has stood still
	plan       uint64
	suspended  bool
	dead       bool
	noStore    int // 0: reached, 1: refuses, 2: silent
	heard      map[string]time.Duration
	storeBad   time.Duration // when the last call failed, or 0
	watching   bool
	worst      time.Duration
	refusedFor time.Duration
	nodeCache  []elector.Candidate
	cachedAt   time.Duration
}

// delivery is something that happens at a host at a time.
type delivery struct {
	at   time.Duration
	from string
	to   *host
	run  func(h *host) // on the host's goroutine
}

// simulation runs hosts in virtual time.
type simulation struct {
	fail    func(format string, args ...any)
	now     time.Duration
	hosts   []*host
	queue   []delivery
	blocked func(from, to *host) bool
	delay   func(from, to *host) time.Duration // in addition
	acked   []time.Duration                    // by version, when the store acknowledged it
	waits   map[string]time.Duration           // watchers and the waits of their watches
	bytes   int
	reads   int
	sent    int
}

func newSimulation(fail func(string, ...any), names ...string) *simulation {
	s := &simulation{
		fail: fail, now: time.Second, acked: []time.Duration{0, 0},
		blocked: func(*host, *host) bool { return false }, delay: func(*host, *host) time.Duration { return 0 },
	}
	for i, name := range names {
		h := &host{sim: s, name: name, offset: time.Duration(i*i) * 1000 * time.Second, rate: float64(i%5-2) * 50e-6, plan: 1, heard: map[string]time.Duration{}, cachedAt: -time.Second}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.restart(1)
		for _, o := range s.hosts {
			h.heard[o.name] = s.now
		}
	}
	s.waits = map[string]time.Duration{names[0]: 1200 * time.Millisecond, names[1]: 1200 * time.Millisecond, names[2]: 4 * time.Second}
	return s
}

func (h *host) restart(incarnation uint64) {
	h.distributor = newDistributor(h.name, h.name[:1], incarnation, newSchedule(revokeAfter, 0), h.clock)
	seed := uint32(len(h.name)) + uint32(incarnation)
	h.random = func() float64 { seed = seed*1664525 + 1013904223; return float64(seed>>8) / (1 << 24) }
	h.send = h.sendMessage
	h.nodes = h.candidates
}

func (h *host) clock() time.Duration {
	return h.offset + h.sim.now - h.stopped + time.Duration(h.rate*float64(h.sim.now))
}

func (h *host) candidates() []elector.Candidate {
	if h.sim.now-h.cachedAt < 200*time.Millisecond {
		return h.nodeCache
	}
	h.cachedAt, h.nodeCache = h.sim.now, nil
	for _, o := range h.sim.hosts {
		if o == h {
			continue
		}
		if !o.dead && !o.suspended && !h.sim.blocked(o, h) {
			h.heard[o.name] = h.sim.now
		}
		c := elector.Candidate{Address: o.name, Region: o.name[:1], Incarnation: o.incarnation, StoreReachable: o.storeBad == 0, Alive: h.sim.now-h.heard[o.name] < aliveFor}
		if o.storeBad != 0 {
			c.StoreFailedAt = time.Unix(0, 0).Add(o.storeBad)
		}
		h.nodeCache = append(h.nodeCache, c)
	}
	return h.nodeCache
}

func (h *host) sendMessage(peer string, m message.Message) {
	data, err := encoder.Encode(m)
	if err != nil {
		h.sim.fail("encode: %v", err)
	}
	h.sim.bytes += len(data)
	h.sim.sent++
	for _, o := range h.sim.hosts {
		if o.name != peer || h.sim.blocked(h, o) {
			continue
		}
		h.sim.after(h.sim.linkDelay(h, o), h, o, func(o *host) {
			d, err := encoder.Decode(data)
			if err != nil {
				h.sim.fail("decode: %v", err)
			}
			switch b := d.Body().(type) {
			case *stamp:
				o.handleStamp(h.name, b)
			case *proofMessage:
				o.handleProof(h.name, b)
			}
		})
	}
}

func (s *simulation) linkDelay(from, to *host) time.Duration {
	d := time.Millisecond
	if from.name[:1] != to.name[:1] {
		d = 20 * time.Millisecond
	}
	return d + s.delay(from, to)
}

func (s *simulation) after(d time.Duration, from, to *host, run func(*host)) {
	x := delivery{at: s.now + d, to: to, run: run}
	if from != nil {
		x.from = from.name
	}
	s.queue = append(s.queue, x)
}

func (s *simulation) version() uint64 { return uint64(len(s.acked) - 1) }

// change has the store acknowledge a new version.
func (s *simulation) change() { s.acked = append(s.acked, s.now) }

// adopt applies a configuration and passes it on.
func (h *host) adopt(version uint64) {
	if version <= h.plan {
		return
	}
	h.plan = version
	for _, o := range h.sim.hosts {
		if o != h && !h.sim.blocked(h, o) {
			h.sim.after(h.sim.linkDelay(h, o)+50*time.Millisecond, h, o, func(o *host) { o.plan = max(o.plan, version) })
		}
	}
}

// read makes one call to the store that sees its state after 10 ms, and returns after wait or at the next change.
func (h *host) read(wait time.Duration, done func(err bool)) {
	s := h.sim
	if h.noStore != 0 {
		h.storeBad = s.now
		d := 10 * time.Millisecond
		if h.noStore == 2 {
			d = 1500 * time.Millisecond
		}
		s.after(d, nil, h, func(*host) { done(true) })
		return
	}
	began := h.clock()
	run := h.distributor
	var poll func(h *host)
	end := s.now + 10*time.Millisecond + wait
	poll = func(h *host) {
		if s.version() == h.plan && s.now < end {
			s.after(step, nil, h, poll)
			return
		}
		seen := s.version()
		s.after(10*time.Millisecond, nil, h, func(h *host) {
			h.storeBad = 0
			h.adopt(seen)
			if h.distributor == run {
				h.handleOwn(proof{moment: began, version: h.plan})
			}
			done(false)
		})
	}
	s.after(10*time.Millisecond, nil, h, poll)
}

func (h *host) watch() {
	wait, ok := h.sim.waits[h.name]
	if !ok || h.watching {
		return
	}
	h.watching = true
	pause := time.Duration(0)
	if h.name == names[1] {
		pause, wait = pollInterval, 0
	}
	h.sim.after(pause, nil, h, func(h *host) {
		h.read(wait, func(failed bool) {
			pause := time.Duration(0)
			if failed {
				pause = 600 * time.Millisecond
			}
			h.sim.after(pause, nil, h, func(h *host) { h.watching = false })
		})
	})
}

// check fails if the host would run a request with a key that was revoked more than revokeAfter ago.
func (h *host) check() {
	if !h.fresh(h.plan) {
		return
	}
	for v := h.plan + 1; v <= h.sim.version(); v++ {
		if h.sim.now-h.sim.acked[v] > revokeAfter {
			h.sim.fail("at %v, %s runs requests by version %d, but %d was acknowledged at %v", h.sim.now, h.name, h.plan, v, h.sim.acked[v])
		}
	}
}

// advance runs until the time is reached.
func (s *simulation) advance(until time.Duration) {
	for ; s.now < until; s.now += step {
		var due []delivery
		s.queue = slices.DeleteFunc(s.queue, func(d delivery) bool {
			if d.to.dead {
				return true
			}
			ready := d.at <= s.now && !d.to.suspended
			if ready {
				due = append(due, d)
			}
			return ready
		})
		for _, h := range s.hosts {
			if !h.dead && !h.suspended {
				h.check() // before anything that a resumed host has got in the meantime
			}
		}
		for _, d := range due {
			d.run(d.to)
			d.to.check()
		}
		for i, h := range s.hosts {
			if h.dead || h.suspended {
				continue
			}
			h.watch()
			if (s.now/step+time.Duration(i))%10 == 0 && h.tick(h.plan, true) {
				s.reads++
				d := h.distributor
				h.read(0, func(bool) { d.reading = false })
			}
			h.check()
			if age, ok := h.age(h.plan); ok {
				h.worst = max(h.worst, age)
			}
			if !h.fresh(h.plan) {
				h.refusedFor += step
			}
		}
	}
}

// summarize describes what happened since the last call, over the hosts for which count is true.
func (s *simulation) summarize(name string, since time.Duration, count func(*host) bool) string {
	var worst, refused time.Duration
	for _, h := range s.hosts {
		if count(h) {
			worst, refused = max(worst, h.worst), max(refused, h.refusedFor)
		}
		h.worst, h.refusedFor = 0, 0
	}
	seconds := (s.now - since).Seconds()
	line := fmt.Sprintf("%-52s age at most %4.1f s, refusing %4.1f s, reads %2d, %4.0f bytes a node and second\n",
		name, worst.Seconds(), refused.Seconds(), s.reads, float64(s.bytes)/seconds/float64(len(s.hosts)))
	s.reads, s.bytes, s.sent = 0, 0, 0
	return line
}

var names = []string{"a0", "b0", "a1", "a2", "a3", "b1", "b2", "b3", "c0", "c1", "c2", "c3"}

func (s *simulation) host(name string) *host {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })]
}

func newTestSimulation(t *testing.T) *simulation {
	s := newSimulation(t.Fatalf, names...)
	s.advance(6 * time.Second)
	s.summarize("", 0, func(*host) bool { return true })
	return s
}
