package planner

// The target of docs/design.md.
const (
	targetNodes   = 8600
	targetCentres = 10
)

// line is one row of a table: a figure, what it grows with, and what carries it.
type line struct {
	role      string
	title     string
	figure    string // prefix of the figure's name
	per       axis
	bound     float64 // zero if none is stated
	mechanism string
}

// axis is what a figure grows with.
type axis int

const (
	perNode   axis = iota // nodes of the fleet
	perCentre             // nodes of one data centre
	flat                  // measured once
)

// centresOf returns the data centres of a simulated fleet of the size, as the measurements shape it.
func centresOf(size int) float64 {
	if size >= targetNodes {
		return targetCentres
	}
	return 6
}

func (a axis) at(size int) float64 {
	if a == perCentre {
		return float64(size) / centresOf(size)
	}
	return float64(size)
}

var lines = []line{
	{"node", "configuration, bytes a second", "control_bytes_per_node_and_second_24_000_changes_a_day", perNode, 12000, "deltas by subscription, versions in heartbeats"},
	{"node", "membership, bytes a second", "membership_churn_node", perNode, 12000, "heartbeats of 11 bytes, sets by subscription"},
	{"node", "snapshot, MB", "snapshot_memory_wall", perNode, 32, "one immutable snapshot, shared pools"},
	{"node", "building snapshots, per cent of a core", "publish_cpu_at_target_churn_wall", perNode, 3.1, "only the changed service is rebuilt"},
	{"node", "one decision, ns", "decision_1_threads_wall", perNode, 0, "two random candidates, no scan"},
	{"node", "idle process, MB", "idle_node_memory_wall", flat, 32, ""},
	{"node", "idle process, per cent of a core", "idle_node_cpu_wall", flat, 3.1, ""},
	{"relay", "busiest node's configuration, bytes a second", "control_bytes_per_second_of_the_busiest_node_24_000_changes_a_day", perCentre, 12000, "deltas cached by subscription"},
	{"relay", "membership, bytes a second", "membership_churn_relay", perCentre, 12000, "sets replaced whole, digests between relays"},
	{"relay", "idle process, MB", "idle_relay_memory_wall", flat, 32, ""},
	{"relay", "idle process, per cent of a core", "idle_relay_cpu_wall", flat, 3.1, ""},
	{"store", "reads a second", "store_reads_per_second_24_000_changes_a_day", perNode, 200, "gateways read for their region"},
	{"store", "writes a second", "store_writes_per_second_24_000_changes_a_day", perNode, 30, "two leases a data centre"},
	{"store", "waiting watches", "waiting_watches", perNode, 0, "one for each region"},
	{"regions", "bytes across regions for each change", "bytes_across_regions_per_change", perNode, 0, "one copy for each region"},
	{"regions", "membership across regions, bytes a second", "membership_churn_cross_region", perNode, 0, "gateways pass sets on"},
	{"fleet", "slowest node in force, quiet, ms", "convergence_worst_quiet", perNode, 9000, "pushed deltas"},
	{"fleet", "slowest node in force, half of the nodes dead, ms", "convergence_worst_half_of_the_nodes_die", perNode, 9000, "second relay, pull after 300 ms"},
	{"fleet", "slowest node without a leaving endpoint, ms", "membership_leaving_out_worst", perNode, 3000, "leaving is passed on at once"},
	{"fleet", "the same, owner killed, ms", "membership_leaving_out_owner_killed_worst", perNode, 3000, "the second relay spreads it"},
}
