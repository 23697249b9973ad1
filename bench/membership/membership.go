package membership

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/registrar/scenario"
)

// Limits from the guarantees and the target of docs/design.md.
const (
	departureBoundMillis = 3000  // guarantee P8
	bytesPerSecondBound  = 12000 // for a node's whole control plane
	writesPerSecondBound = 5     // to the store, per data centre
)

// Churn of the target.
const (
	dailyRestartsPerNode = 2800.0 / 8600
	day                  = 24 * time.Hour
)

// groupChangesPerRestart is how often a graceful restart changes an endpoint group: leaving, gone, starting, ready.
const groupChangesPerRestart = 4

// settleTime is long enough for the first endpoint groups to reach every node.
const settleTime = 5 * time.Second

// startUpTime is the time after which the first endpoint groups are written: at the largest size, 55 groups need a read
// and a write each from a budget of 5 a second.
const startUpTime = 25 * time.Second

// idleTime is the virtual time over which idle traffic is counted.
const idleTime = 5 * time.Second

// churnTime is the virtual time over which traffic under churn is counted.
const churnTime = 30 * time.Second

// departures is the number of endpoints that leave consecutively in one run.
const departures = 3

var seeds = []uint64{1, 2, 3}

// Emit records one figure: value is the system's, baseline that of the naive version named by against, bound the stated
// target, and better is "lower" or "higher".
type Emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

// fleetConfig returns the configuration of a fleet with the subscription filter; at the target a service has 18
// endpoints.
func fleetConfig(nodes int) scenario.Config {
	if nodes <= 18 {
		return scenario.Config{Regions: 3, Nodes: nodes, Services: 3, Dependencies: 1}
	}
	return scenario.Config{Regions: 5, Nodes: nodes, Services: nodes / 18, Dependencies: 3}
}

// unfiltered returns the naive version of a fleet, in which every node receives every endpoint group.
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

// measureDepartures emits the time until every node has removed a leaving endpoint. In the naive version the endpoint
// is not announced as leaving and is detected by timeout.
func measureDepartures(emit Emit, nodes int, seed uint64, killed bool) {
	const baselineName = "found by silence"
	name := "membership_leaving_out"
	if killed {
		name = "membership_leaving_out_owner_killed"
	}
	worst, p99 := departureTimes(nodes, seed, killed, departures, (*scenario.Fleet).Leave)
	naiveWorst, naive99 := departureTimes(nodes, seed, killed, 1, (*scenario.Fleet).Pause)
	emit(name+"_worst", worst, "ms", naiveWorst, baselineName, nodes, seed, departureBoundMillis, "lower")
	emit(name+"_p99", p99, "ms", naive99, baselineName, nodes, seed, departureBoundMillis, "lower")
}

// departureTimes makes endpoints depart in one data centre after another and returns the worst time and the 99th
// percentile, in milliseconds, until nodes no longer see them as ready. The wait after each killed owner lets its
// leases change hands, so that each departure coincides with only one fault.
func departureTimes(nodes int, seed uint64, killed bool, count int, depart func(*scenario.Fleet, string)) (worst, p99 float64) {
	var times []time.Duration
	f := scenario.New(seed, fleetConfig(nodes), nil)
	f.Simulator().Run(settleTime)
	for i := range count {
		dc := f.DataCentres()[i%len(f.DataCentres())]
		leaver := readyNodeIn(f, dc)
		if leaver == "" {
			continue
		}
		if killed {
			f.Kill(f.LeaseHolder(dc, 0))
		}
		times = append(times, measureDeparture(f, leaver, depart)...)
		if killed {
			f.Simulator().Run(scenario.LeaseTime + time.Second)
		}
	}
	slices.Sort(times)
	return milliseconds(times[len(times)-1]), milliseconds(times[(len(times)*99-1)/100])
}

// readyNodeIn returns a running, ready node of the data centre that is not a relay, or the empty string.
func readyNodeIn(f *scenario.Fleet, dataCentre string) string {
	for _, n := range f.NodesIn(dataCentre) {
		if f.Running(n) && !f.IsRelay(n) && f.State(n, n) == endpoint.Ready {
			return n
		}
	}
	return ""
}

// measureDeparture returns the time until each other running node stopped seeing leaver as ready, at most limit.
func measureDeparture(f *scenario.Fleet, leaver string, depart func(*scenario.Fleet, string)) []time.Duration {
	const limit = 10 * time.Second
	const step = 5 * time.Millisecond
	pending := map[string]bool{}
	for _, n := range f.Simulator().Nodes() {
		if n != leaver && f.Running(n) && f.State(n, leaver) == endpoint.Ready {
			pending[n] = true
		}
	}
	start := f.Simulator().Now()
	depart(f, leaver)
	var times []time.Duration
	for len(pending) > 0 && f.Simulator().Now().Sub(start) < limit {
		f.Simulator().Run(step)
		for n := range pending {
			if !f.Running(n) || f.State(n, leaver) == endpoint.Ready {
				continue
			}
			delete(pending, n)
			times = append(times, f.Simulator().Now().Sub(start))
		}
	}
	for range pending {
		times = append(times, limit)
	}
	return times
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// traffic holds the traffic of one run.
type traffic struct {
	node        float64 // mean bytes a second of nodes that are not relays
	relay       float64 // bytes a second of the busiest relay
	crossRegion float64 // bytes a second between regions
	writes      float64 // store writes a second
}

// measureTraffic emits the control bytes, idle and under churn, with the subscription filter on and off.
func measureTraffic(emit Emit, nodes int, seed uint64) {
	const baselineName = "every set to every node"
	filtered := fleetConfig(nodes)
	idle, busy := measure(filtered, seed)
	idleAll, busyAll := measure(unfiltered(filtered), seed)
	emit("membership_idle_node", idle.node, "B/s", idleAll.node, baselineName, nodes, seed, bytesPerSecondBound, "lower")
	emit("membership_idle_relay", idle.relay, "B/s", idleAll.relay, baselineName, nodes, seed, bytesPerSecondBound, "lower")
	emit("membership_churn_node", busy.node, "B/s", busyAll.node, baselineName, nodes, seed, bytesPerSecondBound, "lower")
	emit("membership_churn_relay", busy.relay, "B/s", busyAll.relay, baselineName, nodes, seed, bytesPerSecondBound, "lower")
	emit("membership_churn_cross_region", busy.crossRegion, "B/s", busyAll.crossRegion, baselineName, nodes, seed, 0, "lower")
	// The naive version writes each change of an endpoint group separately.
	changes := float64(groupChangesPerRestart*restartCount(nodes)) / churnTime.Seconds()
	dataCentres := float64(2 * filtered.Regions)
	emit("membership_store_writes", busy.writes, "1/s", changes, "a write for each change", nodes, seed, writesPerSecondBound*dataCentres, "lower")
}

// measure runs a fleet and counts its traffic, first idle and then with nodes restarting at the target's rate.
func measure(s scenario.Config, seed uint64) (idle, busy traffic) {
	f := scenario.New(seed, s, nil)
	f.Simulator().Run(startUpTime)
	f.Simulator().ResetCounts()
	f.Simulator().Run(idleTime)
	idle = countTraffic(f, idleTime)
	f.Simulator().ResetCounts()
	scheduleRestarts(f, restartCount(s.Nodes), churnTime)
	f.Simulator().Run(churnTime)
	return idle, countTraffic(f, churnTime)
}

// countTraffic returns the traffic since the counters were reset, d ago.
func countTraffic(f *scenario.Fleet, d time.Duration) traffic {
	t := traffic{crossRegion: float64(f.Simulator().CrossRegionBytes()) / d.Seconds()}
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

// restartCount returns the number of restarts during churnTime, rounded up so that a small fleet has one.
func restartCount(nodes int) int {
	return int(dailyRestartsPerNode*float64(nodes)*churnTime.Seconds()/day.Seconds()) + 1
}

// scheduleRestarts schedules graceful restarts evenly over the duration.
func scheduleRestarts(f *scenario.Fleet, count int, duration time.Duration) {
	for i := range count {
		at := duration * time.Duration(2*i+1) / time.Duration(2*count+1)
		f.Simulator().After(at, func() {
			n := readyNodeIn(f, f.DataCentres()[i%len(f.DataCentres())])
			if n == "" {
				return
			}
			f.Leave(n)
			f.Simulator().After(2*time.Second, func() { f.Kill(n) })
			f.Simulator().After(5*time.Second, func() { f.Restart(n) })
		})
	}
}
