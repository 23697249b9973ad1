package membership

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/registrar/scenario"
)

// Bounds of the promises and of the target.
const (
	departureBound = 3000  // ms, promise P8
	bytesBound     = 12000 // bytes a second for a node's whole control plane
	writesBound    = 5     // store writes a second for a data centre
)

// The churn of the target: restarts a day for each node.
const (
	restartsPerDay = 2800.0 / 8600
	day            = 24 * time.Hour
)

// changesOfRestart is how often a graceful restart changes a set: leaving, gone, starting, ready.
const changesOfRestart = 4

// settleTime is enough for the first sets to reach every node.
const settleTime = 5 * time.Second

// startTime is the time after which the writes of the first sets are over: 55 sets at the largest size take a read and a
// write each from a budget of 5 a second.
const startTime = 25 * time.Second

// quietTime is the virtual time over which traffic is counted.
const quietTime = 5 * time.Second

// churnTime is the virtual time over which traffic under churn is counted.
const churnTime = 30 * time.Second

// departures is the number of endpoints that leave, one after the other, in one run.
const departures = 3

var seeds = []uint64{1, 2, 3}

// Emit takes one figure: value is ours, baseline that of the naive version named by against, bound the stated target,
// and better is "lower" or "higher".
type Emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

// shapeOf returns the fleet of a size with the subscription filter on; at the target a service has 18 endpoints.
func shapeOf(nodes int) scenario.Config {
	if nodes <= 18 {
		return scenario.Config{Regions: 3, Nodes: nodes, Services: 3, Dependencies: 1}
	}
	return scenario.Config{Regions: 5, Nodes: nodes, Services: nodes / 18, Dependencies: 3}
}

// unfiltered returns the naive version of a fleet: every node has every set.
func unfiltered(s scenario.Config) scenario.Config {
	s.Dependencies = 0
	return s
}

// Measure emits all figures of this package.
func Measure(emit func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)) {
	for _, nodes := range []int{18, 256, 1000} {
		for _, seed := range seeds {
			measureDepartures(emit, nodes, seed, false)
			measureDepartures(emit, nodes, seed, true)
		}
		measureTraffic(emit, nodes, seeds[0])
	}
}

// measureDepartures emits the time until a leaving endpoint is out at every node. The naive version does not announce
// that it leaves, and is found by its silence.
func measureDepartures(emit Emit, nodes int, seed uint64, killed bool) {
	const against = "found by silence"
	name := "membership_leaving_out"
	if killed {
		name = "membership_leaving_out_owner_killed"
	}
	worst, p99 := spread(nodes, seed, killed, departures, (*scenario.Fleet).Leave)
	naiveWorst, naive99 := spread(nodes, seed, killed, 1, (*scenario.Fleet).Pause)
	emit(name+"_worst", worst, "ms", naiveWorst, against, nodes, seed, departureBound, "lower")
	emit(name+"_p99", p99, "ms", naive99, against, nodes, seed, departureBound, "lower")
}

// spread lets endpoints go in one data centre after the other and returns the worst time and the 99th percentile, in
// milliseconds, until nodes no longer see them as ready. The time in between lets the leases of killed owners pass on,
// so that each departure meets one fault.
func spread(nodes int, seed uint64, killed bool, count int, end func(*scenario.Fleet, string)) (worst, p99 float64) {
	var times []time.Duration
	f := scenario.New(seed, shapeOf(nodes), nil)
	f.Simulator().Run(settleTime)
	for i := range count {
		dc := f.DataCentres()[i%len(f.DataCentres())]
		leaver := leaverIn(f, dc)
		if leaver == "" {
			continue
		}
		if killed {
			f.Kill(f.LeaseHolder(dc, 0))
		}
		times = append(times, departure(f, leaver, end)...)
		if killed {
			f.Simulator().Run(scenario.LeaseTime + time.Second)
		}
	}
	slices.Sort(times)
	return milliseconds(times[len(times)-1]), milliseconds(times[(len(times)*99-1)/100])
}

// leaverIn returns a running ordinary node of the data centre that has not left, or the empty string.
func leaverIn(f *scenario.Fleet, dataCentre string) string {
	for _, n := range f.NodesIn(dataCentre) {
		if f.Running(n) && !f.IsRelay(n) && f.State(n, n) == endpoint.Ready {
			return n
		}
	}
	return ""
}

// departure returns when each other running node stopped seeing the leaver as ready. Nodes that never did count as the
// limit.
func departure(f *scenario.Fleet, leaver string, end func(*scenario.Fleet, string)) []time.Duration {
	const limit = 10 * time.Second
	const step = 5 * time.Millisecond
	waiting := map[string]bool{}
	for _, n := range f.Simulator().Nodes() {
		if n != leaver && f.Running(n) && f.State(n, leaver) == endpoint.Ready {
			waiting[n] = true
		}
	}
	start := f.Simulator().Now()
	end(f, leaver)
	var times []time.Duration
	for len(waiting) > 0 && f.Simulator().Now().Sub(start) < limit {
		f.Simulator().Run(step)
		for n := range waiting {
			if !f.Running(n) || f.State(n, leaver) == endpoint.Ready {
				continue
			}
			delete(waiting, n)
			times = append(times, f.Simulator().Now().Sub(start))
		}
	}
	for range waiting {
		times = append(times, limit)
	}
	return times
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// traffic is what one run cost.
type traffic struct {
	node   float64 // bytes a second of an average node that is no relay
	relay  float64 // bytes a second of the busiest relay
	cross  float64 // bytes a second between regions
	writes float64 // store writes a second
}

// measureTraffic emits the control bytes, idle and under churn, with the subscription filter on and off.
func measureTraffic(emit Emit, nodes int, seed uint64) {
	const against = "every set to every node"
	filtered := shapeOf(nodes)
	idle, busy := measure(filtered, seed)
	idleAll, busyAll := measure(unfiltered(filtered), seed)
	emit("membership_idle_node", idle.node, "B/s", idleAll.node, against, nodes, seed, bytesBound, "lower")
	emit("membership_idle_relay", idle.relay, "B/s", idleAll.relay, against, nodes, seed, bytesBound, "lower")
	emit("membership_churn_node", busy.node, "B/s", busyAll.node, against, nodes, seed, bytesBound, "lower")
	emit("membership_churn_relay", busy.relay, "B/s", busyAll.relay, against, nodes, seed, bytesBound, "lower")
	emit("membership_churn_cross_region", busy.cross, "B/s", busyAll.cross, against, nodes, seed, 0, "lower")
	// The naive version writes each change of a set at once.
	changes := float64(changesOfRestart*restarts(nodes)) / churnTime.Seconds()
	centres := float64(2 * filtered.Regions)
	emit("membership_store_writes", busy.writes, "1/s", changes, "a write for each change", nodes, seed, writesBound*centres, "lower")
}

// measure runs a fleet and counts its traffic, first idle and then with nodes restarting at the target's rate.
func measure(s scenario.Config, seed uint64) (idle, busy traffic) {
	f := scenario.New(seed, s, nil)
	f.Simulator().Run(startTime)
	f.Simulator().ResetCounts()
	f.Simulator().Run(quietTime)
	idle = count(f, quietTime)
	f.Simulator().ResetCounts()
	restart(f, restarts(s.Nodes), churnTime)
	f.Simulator().Run(churnTime)
	return idle, count(f, churnTime)
}

// count returns the traffic of the time since the counters were reset.
func count(f *scenario.Fleet, d time.Duration) traffic {
	t := traffic{cross: float64(f.Simulator().CrossRegionBytes()) / d.Seconds()}
	t.writes = float64(f.Simulator().Store().Writes) / d.Seconds()
	ordinary := 0
	for _, n := range f.Simulator().Nodes() {
		rate := float64(f.Simulator().Bytes(n)) / d.Seconds()
		if f.IsRelay(n) {
			t.relay = max(t.relay, rate)
			continue
		}
		t.node += rate
		ordinary++
	}
	t.node /= float64(ordinary)
	return t
}

// restarts returns the number of restarts in the time under churn, rounded up so that a small fleet has one.
func restarts(nodes int) int {
	return int(restartsPerDay*float64(nodes)*churnTime.Seconds()/day.Seconds()) + 1
}

// restart plans graceful restarts over the time.
func restart(f *scenario.Fleet, count int, duration time.Duration) {
	for i := range count {
		at := duration * time.Duration(2*i+1) / time.Duration(2*count+1)
		f.Simulator().After(at, func() {
			n := leaverIn(f, f.DataCentres()[i%len(f.DataCentres())])
			if n == "" {
				return
			}
			f.Leave(n)
			f.Simulator().After(2*time.Second, func() { f.Kill(n) })
			f.Simulator().After(5*time.Second, func() { f.Restart(n) })
		})
	}
}
