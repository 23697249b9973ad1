package planner

// Target size from docs/design.md.
const (
	targetNodes       = 8600
	targetDataCentres = 10
)

// tableRow describes a figure, the quantity with which it grows, and the mechanism that limits it.
type tableRow struct {
	role      string
	title     string
	figure    string // prefix of the figure's name
	axis      axis
	bound     float64 // zero if none is stated
	mechanism string
}

// axis is the quantity with which a figure grows.
type axis int

const (
	perNode       axis = iota // nodes of the fleet
	perDataCentre             // nodes of one data centre
	measuredOnce              // independent of the size
)

// dataCentresOf returns the number of data centres in a measured fleet of the given size.
func dataCentresOf(size int) float64 {
	if size >= targetNodes {
		return targetDataCentres
	}
	return 6
}

func (a axis) at(size int) float64 {
	if a == perDataCentre {
		return float64(size) / dataCentresOf(size)
	}
	return float64(size)
}

var tableRows = []tableRow{
	{"node", "configuration, bytes a second", "control_bytes_per_node_and_second_24_000_changes_a_day", perNode, 12000, "deltas by subscription, versions in heartbeats"},
	{"node", "membership, bytes a second", "membership_churn_node", perNode, 12000, "heartbeats of 11 bytes, sets by subscription"},
	{"node", "snapshot, MB", "snapshot_memory_wall", perNode, 32, "one immutable snapshot, shared pools"},
	{"node", "building snapshots, per cent of a core", "publish_cpu_at_target_churn_wall", perNode, 3.1, "only the changed service is rebuilt"},
	{"node", "one decision, ns", "decision_1_threads_wall", perNode, 0, "two random candidates, no scan"},
	{"node", "idle process, MB", "idle_node_memory_wall", measuredOnce, 32, ""},
	{"node", "idle process, per cent of a core", "idle_node_cpu_wall", measuredOnce, 3.1, ""},
	{"relay", "busiest node's configuration, bytes a second", "control_bytes_per_second_of_the_busiest_node_24_000_changes_a_day", perDataCentre, 12000, "deltas cached by subscription"},
	{"relay", "membership, bytes a second", "membership_churn_relay", perDataCentre, 12000, "sets replaced whole, digests between relays"},
	{"relay", "idle process, MB", "idle_relay_memory_wall", measuredOnce, 32, ""},
	{"relay", "idle process, per cent of a core", "idle_relay_cpu_wall", measuredOnce, 3.1, ""},
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
