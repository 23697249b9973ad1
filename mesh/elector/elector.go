package elector

import (
	"math/bits"
	"slices"
	"time"
)

// latencyStep is the resolution at which store latencies are compared. It is below the latency between regions and
// above the variation within a region.
const latencyStep = 15 * time.Millisecond

// Candidate is a node that may be elected, as seen by the node that ranks it.
type Candidate struct {
	Address        string
	Region         string
	Incarnation    uint64        // tells one run of the node from another
	StoreReachable bool          // as reported by the node itself
	StoreLatency   time.Duration // shortest response time of the store
	StoreFailedAt  time.Time     // last failed call to the store, or zero; matters only while the store is not reachable
	Alive          bool          // messages about it arrived recently
	Leaving        bool          // it has said that it stops
	Age            time.Duration // of its process
	LinkRate       int           // millions of bits a second that the host's network link carries, or 0 if that is not known
}

// Rank returns the number of nodes that precede own as watchers of the store. Nodes that reach the store come first,
// by latency, as store traffic between regions costs money; then those with the fastest links; ties are broken by address. The others follow in the order
// of their last failures. Their state may be out of date, as only watchers call the store, so each gets its turn.
func Rank(own Candidate, peers []Candidate) int {
	n := 0
	for _, p := range peers {
		if p.Alive && watchesBefore(p, own) {
			n++
		}
	}
	return n
}

// TopRanked returns the first n nodes in the order of Rank, which may include own.
func TopRanked(own Candidate, peers []Candidate, n int) []Candidate {
	all := []Candidate{own}
	for _, p := range peers {
		if p.Alive {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b Candidate) int {
		switch {
		case precedes(a, b):
			return -1
		case precedes(b, a):
			return 1
		}
		return 0
	})
	return all[:min(n, len(all))]
}

// TopOfRegions returns the first n nodes of each region in the order of TopRanked; all nodes of TopRanked are among them.
func TopOfRegions(own Candidate, peers []Candidate, n int) []Candidate {
	var top []Candidate
	taken := map[string]int{}
	for _, c := range TopRanked(own, peers, len(peers)+1) {
		if taken[c.Region]++; taken[c.Region] <= n {
			top = append(top, c)
		}
	}
	return top
}

// IsLeader reports whether own should make the decisions for the whole mesh.
func IsLeader(own Candidate, peers []Candidate) bool {
	return own.StoreReachable && Rank(own, peers) == 0
}

// watchesBefore reports whether a is elected as a watcher before b.
func watchesBefore(a, b Candidate) bool {
	if !a.StoreReachable && !b.StoreReachable && !a.StoreFailedAt.Equal(b.StoreFailedAt) {
		return a.StoreFailedAt.Before(b.StoreFailedAt)
	}
	return precedes(a, b)
}

// precedes reports whether a is ranked before b. It does not depend on failures, so that the nodes that evaluate a move
// do not change while the store is out.
func precedes(a, b Candidate) bool {
	if a.StoreReachable != b.StoreReachable {
		return a.StoreReachable
	}
	if x, y := a.StoreLatency/latencyStep, b.StoreLatency/latencyStep; a.StoreReachable && x != y {
		return x < y
	}
	if x, y := LinkClass(a.LinkRate), LinkClass(b.LinkRate); x != y {
		return x > y
	}
	return a.Address < b.Address
}

// LinkClass returns the number of bits of the rate of a host's link, so that links of about the same rate are equal. A watcher
// sends each configuration to all nodes of its region, which takes most of a second on a slow link.
func LinkClass(rate int) int { return bits.Len(uint(max(0, rate))) }
