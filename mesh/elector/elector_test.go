package elector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestElection guards against a mesh in which nobody watches the store, or everybody does.
func TestElection(t *testing.T) {
	node := func(address string, store bool, far time.Duration, alive bool) Candidate {
		return Candidate{Address: address, StoreReachable: store, StoreLatency: far * time.Millisecond, Alive: alive}
	}
	cases := []struct {
		name  string
		nodes []Candidate
	}{
		{"alike", []Candidate{node("c", true, 4, true), node("a", true, 4, true), node("b", true, 5, true)}},
		{"near the store first", []Candidate{node("a", true, 45, true), node("b", true, 5, true), node("c", true, 44, true)}},
		{"turned away", []Candidate{node("a", false, 4, true), node("b", true, 5, true), node("c", true, 44, true)}},
		{"dead", []Candidate{node("a", true, 4, false), node("b", true, 5, true)}},
		{"store out", []Candidate{node("b", false, 4, true), node("a", false, 45, true)}},
		{"alone", []Candidate{node("a", true, 4, true)}},
	}
	var out strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&out, "%s\n", c.name)
		for i, own := range c.nodes {
			if !own.Alive {
				continue
			}
			peers := append(append([]Candidate{}, c.nodes[:i]...), c.nodes[i+1:]...)
			var leaders []string
			for _, l := range TopRanked(own, peers, 2) {
				leaders = append(leaders, l.Address)
			}
			fmt.Fprintf(&out, "  %s: place %d, coordinates %v, leaders %s\n", own.Address, Rank(own, peers), IsLeader(own, peers), strings.Join(leaders, " "))
		}
	}
	goldie.New(t).Assert(t, "election", []byte(out.String()))
}
