package ranker

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerKey is the number of nodes that record one key; a majority of two must agree before a call runs.
const OwnersPerKey = 3

// Ranker is an immutable view of the nodes of one service and of their recent departures.
type Ranker struct {
	members    []member
	departures []departure
}

type member struct {
	node   string
	joined time.Time
}

type departure struct {
	node string
	at   time.Time
}

// New returns a view of the members with the times at which they joined.
func New(joined map[string]time.Time) Ranker {
	return Ranker{}.WithMembers(joined, time.Time{}, 0)
}

// WithMembers returns the view after a change of members at now; departures older than hold are removed.
func (r Ranker) WithMembers(joined map[string]time.Time, now time.Time, hold time.Duration) Ranker {
	var n Ranker
	for node, at := range joined {
		n.members = append(n.members, member{node: node, joined: at})
	}
	sort.Slice(n.members, func(i, j int) bool { return n.members[i].node < n.members[j].node })
	for _, d := range r.departures {
		if now.Sub(d.at) <= hold {
			n.departures = append(n.departures, d)
		}
	}
	for _, m := range r.members {
		// A restarted node has lost its records, so its earlier incarnation counts as a departure.
		at, present := joined[m.node]
		if !present || !at.Equal(m.joined) {
			n.departures = append(n.departures, departure{node: m.node, at: now})
		}
	}
	return n
}

// RecentOwnerCount returns how many owners a key can have had within the hold time, at most OwnersPerKey. A majority of
// that number must agree, even after members have left.
func (r Ranker) RecentOwnerCount() int {
	nodes := make(map[string]bool, len(r.members)+len(r.departures))
	for _, m := range r.members {
		nodes[m.node] = true
	}
	for _, d := range r.departures {
		nodes[d.node] = true
	}
	return min(OwnersPerKey, len(nodes))
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Owners returns the owners of the key, highest weight first; fewer than OwnersPerKey if there are fewer members.
func (r Ranker) Owners(key string) []string {
	type candidate struct {
		node   string
		weight uint64
	}
	best := make([]candidate, 0, OwnersPerKey+1)
	for _, m := range r.members {
		w := candidate{node: m.node, weight: weight(key, m.node)}
		i := len(best)
		for i > 0 && best[i-1].weight < w.weight {
			i--
		}
		if i == OwnersPerKey {
			continue
		}
		best = append(best, candidate{})
		copy(best[i+1:], best[i:])
		best[i] = w
		best = best[:min(len(best), OwnersPerKey)]
	}
	nodes := make([]string, len(best))
	for i, b := range best {
		nodes[i] = b.node
	}
	return nodes
}

// OwnerSince returns a time since which node has certainly owned the key, and false if it does not own it now.
//
// The node owned the key at an earlier time only if fewer than OwnersPerKey nodes of a higher weight were members then.
// Going back in time, each departure of such a node adds one. A join would only subtract one, so ignoring joins can
// make the returned time too late, but never too early.
func (r Ranker) OwnerSince(key, node string) (time.Time, bool) {
	own := weight(key, node)
	higher := 0
	var joined time.Time
	found := false
	for _, m := range r.members {
		if m.node == node {
			joined, found = m.joined, true
			continue
		}
		if weight(key, m.node) > own {
			higher++
		}
	}
	if !found || higher >= OwnersPerKey {
		return time.Time{}, false
	}
	var departed []time.Time
	for _, d := range r.departures {
		if d.node != node && weight(key, d.node) > own {
			departed = append(departed, d.at)
		}
	}
	sort.Slice(departed, func(i, j int) bool { return departed[i].After(departed[j]) })
	// The departure that brings the count to OwnersPerKey is the time at which the node became an owner.
	if i := OwnersPerKey - higher - 1; i < len(departed) && departed[i].After(joined) {
		return departed[i], true
	}
	return joined, true
}
