package footprint

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/bench/reporter"
	"wisteriaspoke.example/mesh/balancer"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/snapshot"
)

func init() { reporter.Register("footprint", 50, Measure) }

// Limits from docs/design.md.
const (
	memoryBoundMB   = 32.0
	cpuBoundPercent = 3.1 // of a core
)

// Changes per second at the target's size. Each of the 2,821 nodes that fail or restart in a day changes an endpoint
// group three times: it leaves, returns and becomes ready.
const (
	configsPerSecond = 24000.0 / 86400
	groupsPerSecond  = 3 * 2821.0 / 86400
)

// Measure emits the figures and reports failed measurements on standard error.
func Measure(emit reporter.Emit) {
	for _, s := range scales {
		if err := measure(emit, s); err != nil {
			fmt.Fprintf(os.Stderr, "footprint: not measured: %v\n", err)
			return
		}
	}
}

func measure(emit reporter.Emit, s scale) error {
	before := heapBytes()
	p := publisher.New(snapshot.Location{DataCentre: dataCentreName(0), Region: "region-0"})
	c, err := configuration(s, 1)
	if err != nil {
		return err
	}
	p.Publish(c)
	for _, g := range groups(s, 1, 1) {
		p.Publish(g)
	}
	emit("snapshot_memory_wall", float64(heapBytes()-before)/(1<<20), "MB", 0, "none", s.endpoints, 0, memoryBoundMB, "lower")

	configCost, err := publishConfigs(p, s)
	if err != nil {
		return err
	}
	groupCost := publishGroups(p, s)
	emit("publish_config_wall", configCost.Seconds()*1e3, "ms", 0, "none", s.endpoints, 0, 0, "lower")
	emit("publish_set_wall", groupCost.Seconds()*1e6, "us", 0, "none", s.endpoints, 0, 0, "lower")
	cpuPercent := 100 * (configCost.Seconds()*configsPerSecond + groupCost.Seconds()*groupsPerSecond)
	emit("publish_cpu_at_target_churn_wall", cpuPercent, "percent", 0, "none", s.endpoints, 0, cpuBoundPercent, "lower")

	snap := p.Snapshot()
	for _, threads := range []int{1, 10} {
		ours := measureDecisions(threads, func(r func(int) int, i int) bool { return pick(snap, s, r, i) })
		scan := newScanner(s)
		naive := measureDecisions(threads, scan.pick)
		emit(fmt.Sprintf("decision_%d_threads_wall", threads), ours, "ns", naive, "lock and scan", s.endpoints, 0, 0, "lower")
	}
	runtime.KeepAlive(p)
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

const repeats = 20

func publishConfigs(p *publisher.Publisher, s scale) (time.Duration, error) {
	var elapsed time.Duration
	for i := range repeats {
		c, err := configuration(s, uint64(i+2))
		if err != nil {
			return 0, err
		}
		start := time.Now()
		p.Publish(c)
		elapsed += time.Since(start)
	}
	// Publish the endpoints of the last configuration, so that decisions find endpoints.
	for _, g := range groups(s, repeats+1, 2) {
		p.Publish(g)
	}
	return elapsed / repeats, nil
}

func publishGroups(p *publisher.Publisher, s scale) time.Duration {
	var elapsed time.Duration
	for i := range repeats {
		g := groups(s, repeats+1, uint64(i+3))[0]
		start := time.Now()
		p.Publish(g)
		elapsed += time.Since(start)
	}
	return elapsed / repeats
}

// decisionDuration is how long each thread makes decisions.
const decisionDuration = 300 * time.Millisecond

// measureDecisions returns the mean nanoseconds per decision and thread while all threads make decisions.
func measureDecisions(threads int, decide func(random func(int) int, i int) bool) float64 {
	var decisions, failed atomic.Int64
	var done sync.WaitGroup
	start := time.Now()
	for t := range threads {
		done.Go(func() {
			r := rand.New(rand.NewPCG(uint64(t), 1))
			n := 0
			for ; n%256 != 0 || time.Since(start) < decisionDuration; n++ {
				if !decide(r.IntN, n) {
					failed.Add(1)
				}
			}
			decisions.Add(int64(n))
		})
	}
	done.Wait()
	if failed.Load() > 0 {
		fmt.Fprintf(os.Stderr, "footprint: %d decisions found no endpoint\n", failed.Load())
	}
	return float64(time.Since(start).Nanoseconds()) * float64(threads) / float64(decisions.Load())
}

func pick(snap *snapshot.Snapshot, s scale, random func(int) int, i int) bool {
	_, v, ok := snap.Routes().Match(hosts[i%s.services], "/api/3/x", "GET", noHeader)
	if !ok {
		return false
	}
	return balancer.Pick(snap, v.Name(), random, time.Unix(1000, 0), nil) != nil
}

func noHeader(string) string { return "" }

var hosts = func() []string {
	hs := make([]string, scales[len(scales)-1].services)
	for i := range hs {
		hs[i] = serviceName(i) + ".example"
	}
	return hs
}()

// scanner is the naive baseline: it picks the least loaded endpoint by a scan of all endpoints under one lock.
type scanner struct {
	mutex     sync.Mutex
	scale     scale
	endpoints []endpoint.Endpoint
	load      []int
}

func newScanner(s scale) *scanner {
	n := &scanner{scale: s}
	for _, g := range groups(s, 1, 1) {
		n.endpoints = append(n.endpoints, g.Endpoints()...)
	}
	n.load = make([]int, len(n.endpoints))
	return n
}

func (n *scanner) pick(_ func(int) int, i int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	wanted := serviceName(i % n.scale.services)
	best := -1
	for i, e := range n.endpoints {
		if e.Service() == wanted && e.State() == endpoint.Ready && (best < 0 || n.load[i] < n.load[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	n.load[best]++
	return true
}
