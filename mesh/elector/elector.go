package elector

import (
	"slices"
	"time"
)

// step is the difference in the distance to the store that counts: a way between regions is longer than it, and the
// noise of one within a region shorter.
const step = 15 * time.Millisecond

// Candidate is a node as the deciding node sees it.
type Candidate struct {
	Address        string
	StoreReachable bool          // it reaches the store, as it says
	StoreLatency   time.Duration // the shortest time that an answer of the store took
	Alive          bool          // it has been heard of lately
}

// Rank returns how many nodes go before own as watchers of the store: those that reach it, the nearest first, as what
// the store sends between regions is paid for; then those with lower addresses.
func Rank(own Candidate, peers []Candidate) int {
	n := 0
	for _, p := range peers {
		if p.Alive && first(p, own) {
			n++
		}
	}
	return n
}

// TopRanked returns the first n nodes in the order of Place, own among them if it is one.
func TopRanked(own Candidate, peers []Candidate, n int) []Candidate {
	all := []Candidate{own}
	for _, p := range peers {
		if p.Alive {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b Candidate) int {
		switch {
		case first(a, b):
			return -1
		case first(b, a):
			return 1
		}
		return 0
	})
	return all[:min(n, len(all))]
}

// IsLeader reports whether own should decide for the whole mesh.
func IsLeader(own Candidate, peers []Candidate) bool {
	return own.StoreReachable && Rank(own, peers) == 0
}

// first reports whether a goes before b.
func first(a, b Candidate) bool {
	if a.StoreReachable != b.StoreReachable {
		return a.StoreReachable
	}
	if x, y := a.StoreLatency/step, b.StoreLatency/step; a.StoreReachable && x != y {
		return x < y
	}
	return a.Address < b.Address
}
