package ranker

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerKey is the number of nodes that remember one key; two of them must agree before a call runs.
const OwnersPerKey = 3

// Ranker is an immutable view of the nodes of one service, with those that left not long ago.
type Ranker struct {
	members []member
	left    []departure
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

// WithMembers returns the view after a change of members at now; departures older than hold are forgotten.
func (r Ranker) WithMembers(joined map[string]time.Time, now time.Time, hold time.Duration) Ranker {
	var n Ranker
	for node, at := range joined {
		n.members = append(n.members, member{node: node, joined: at})
	}
	sort.Slice(n.members, func(i, j int) bool { return n.members[i].node < n.members[j].node })
	for _, d := range r.left {
		if now.Sub(d.at) <= hold {
			n.left = append(n.left, d)
		}
	}
	for _, m := range r.members {
		// A restarted node has lost its memory, so its earlier life counts as a departure.
		at, stays := joined[m.node]
		if !stays || !at.Equal(m.joined) {
			n.left = append(n.left, departure{node: m.node, at: now})
		}
	}
	return n
}

// RecentOwnerCount returns how many owners a key can have had within the hold time, at most OwnersPerKey; a majority of
// that number must agree, also after members have left.
func (r Ranker) RecentOwnerCount() int {
	seen := make(map[string]bool, len(r.members)+len(r.left))
	for _, m := range r.members {
		seen[m.node] = true
	}
	for _, d := range r.left {
		seen[d.node] = true
	}
	return min(OwnersPerKey, len(seen))
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
	type weighed struct {
		node   string
		weight uint64
	}
	best := make([]weighed, 0, OwnersPerKey+1)
	for _, m := range r.members {
		w := weighed{node: m.node, weight: weight(key, m.node)}
		i := len(best)
		for i > 0 && best[i-1].weight < w.weight {
			i--
		}
		if i == OwnersPerKey {
			continue
		}
		best = append(best, weighed{})
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

// OwnerSince returns the time from which on node has certainly been an owner of the key, and false if it is none now.
//
// The node owned the key at an earlier time only if fewer than OwnersPerKey nodes of a higher weight were members then. Going
// back in time each departure of such a node adds one; joins would only take some away, so ignoring them errs on the
// safe side.
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
	var gone []time.Time
	for _, d := range r.left {
		if d.node != node && weight(key, d.node) > own {
			gone = append(gone, d.at)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].After(gone[j]) })
	// The departure that brings the count to OwnersPerKey is the moment at which the node became an owner.
	if i := OwnersPerKey - higher - 1; i < len(gone) && gone[i].After(joined) {
		return gone[i], true
	}
	return joined, true
}
