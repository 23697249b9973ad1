package relayer

import (
	"maps"
	"slices"
	"time"
)

const (
	// floorPatience is how long a node waits for a floor that the store confirms before it asks its peers.
	floorPatience = time.Second
	// answerLife is how long a peer's statement of its version counts.
	answerLife = 2 * time.Second
	askPeriod  = 500 * time.Millisecond
)

// floor is the lowest version that a node may publish after its start.
type floor struct {
	known     bool
	value     uint64
	published uint64
	digest    uint64 // of the published state
	out       bool   // a relay says that the store does not answer it
	answers   map[string]answer
	askAt     time.Time
}

// answer is what a peer said of the version in force on it; zero while it is not ready.
type answer struct {
	centre  string
	version uint64
	at      time.Time
}

func (r *relayer) knowFloor(version uint64) {
	if r.floor.known {
		return
	}
	r.floor.known, r.floor.value = true, version
	r.floor.answers = map[string]answer{}
	r.publish()
}

// answerFloor tells a starting node the floor if the store has confirmed the head since that node started.
func (r *relayer) answerFloor(address string, c *subscriber) bool {
	started := c.heard.Add(-time.Duration(c.sub.UptimeMillis) * time.Millisecond)
	if r.supply.heard.IsZero() || r.supply.heard.Before(started) {
		return false
	}
	if !r.supply.settled() {
		return false
	}
	// No node applies a version with wrong content, so it cannot be the floor. A withheld version can: the relays' own
	// nodes applied it, and they must not go back.
	value := r.supply.below(r.supply.head.Version())
	c.waits = false
	r.send(address, pulseKind, &pulse{
		Version: r.supply.confirmed, NodeCount: r.fleet(), UptimeMillis: c.sub.UptimeMillis, MinVersion: value, StoreUnreachable: r.store.out,
	})
	return true
}

// answerFloors answers the nodes that wait for a confirmation by the store.
func (r *relayer) answerFloors() {
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		if c := r.server.clients[address]; c.waits {
			r.answerFloor(address, c)
		}
	}
}

// tickFloor asks peers for their versions while the store is out and the floor unknown.
func (r *relayer) tickFloor() {
	f := &r.floor
	if f.known || r.now.Sub(r.started) < floorPatience || !(f.out || r.store.out) {
		return
	}
	if !r.now.Before(f.askAt) {
		f.askAt = r.now.Add(askPeriod)
		for _, a := range r.witnesses() {
			r.send(a, askKind, &ask{})
		}
	}
	r.countAnswers()
}

// witnesses returns the seeds and the relays, without this node.
func (r *relayer) witnesses() []string {
	set := map[string]bool{}
	for _, a := range r.config.Seeds {
		set[a] = true
	}
	for _, h := range r.table.selectLive(r.now, func(*holding) bool { return true }) {
		set[h.holder] = true
	}
	delete(set, r.config.Node)
	return slices.Sorted(maps.Keys(set))
}

// countAnswers takes the highest version among ready nodes as the floor once they are in a majority of the known data
// centres.
func (r *relayer) countAnswers() {
	f := &r.floor
	all := map[string]bool{r.config.DataCentre: true}
	for _, c := range r.config.DataCentres {
		all[c] = true
	}
	for _, h := range r.table.order {
		all[h.centre] = true
	}
	ready := map[string]bool{}
	var highest uint64
	for _, a := range f.answers {
		all[a.centre] = true
		if a.version > 0 && r.now.Sub(a.at) < answerLife {
			ready[a.centre] = true
			highest = max(highest, a.version)
		}
	}
	if 2*len(ready) > len(all) {
		r.knowFloor(highest)
	}
}
