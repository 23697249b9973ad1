package elector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestElection guards against rankings by which no node watches the store, or more nodes than needed do.
func TestElection(t *testing.T) {
	node := func(address string, storeReachable bool, latency time.Duration, alive bool) Candidate {
		return Candidate{Address: address, StoreReachable: storeReachable, StoreLatency: latency * time.Millisecond, Alive: alive}
	}
	failed := func(seconds int64, c Candidate) Candidate {
		c.StoreFailedAt = time.Unix(seconds, 0)
		return c
	}
	linked := func(rate int, c Candidate) Candidate {
		c.LinkRate = rate
		return c
	}
	cases := []struct {
		name  string
		nodes []Candidate
	}{
		{"same latency step", []Candidate{node("c", true, 4, true), node("a", true, 4, true), node("b", true, 5, true)}},
		{"nearest to the store first", []Candidate{node("a", true, 45, true), node("b", true, 5, true), node("c", true, 44, true)}},
		{"store unreachable for one", []Candidate{node("a", false, 4, true), node("b", true, 5, true), node("c", true, 44, true)}},
		{"one not alive", []Candidate{node("a", true, 4, false), node("b", true, 5, true)}},
		{"store unreachable for all", []Candidate{node("b", false, 4, true), node("a", false, 45, true)}},
		{"store unreachable for all, in turn", []Candidate{
			failed(30, node("a", false, 4, true)), failed(10, node("b", false, 4, true)), failed(20, node("c", false, 4, true)), node("d", false, 0, true)}},
		{"one reaches the store, the others failed long ago", []Candidate{failed(10, node("a", false, 4, true)), failed(10, node("b", false, 4, true)), node("c", true, 44, true)}},
		{"fast links first within a latency step", []Candidate{
			linked(10, node("a", true, 4, true)), linked(200, node("c", true, 14, true)), linked(10, node("b", true, 4, true)), linked(200, node("d", true, 24, true))}},
		{"single node", []Candidate{node("a", true, 4, true)}},
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.name)
		for i, own := range c.nodes {
			if !own.Alive {
				continue
			}
			peers := append(append([]Candidate{}, c.nodes[:i]...), c.nodes[i+1:]...)
			var top []string
			for _, n := range TopRanked(own, peers, 2) {
				top = append(top, n.Address)
			}
			fmt.Fprintf(&out, "  %s: rank %d, leader %v, top two %s\n", own.Address, Rank(own, peers), IsLeader(own, peers), strings.Join(top, " "))
		}
	}
	goldie.New(t).Assert(t, "election", []byte(out.String()))
}
