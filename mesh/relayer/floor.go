package relayer

import (
	"maps"
	"slices"
	"time"
)

const (
	// confirmedFloorTimeout is how long a node waits for a floor that the store confirmed before it queries its peers.
	confirmedFloorTimeout = time.Second
	// peerVersionMaxAge is how long a peer's version counts after the peer sent it.
	peerVersionMaxAge = 2 * time.Second
	peerQueryPeriod   = 500 * time.Millisecond
)

// versionFloor is the lowest version that a node may publish after its start, so that a restarted node does not serve
// an older version than before.
type versionFloor struct {
	known            bool
	value            uint64
	published        uint64
	publishedDigest  uint64
	storeUnreachable bool // as a relay reports it
	peerVersions     map[string]peerVersion
	nextQueryAt      time.Time
}

// peerVersion is the version in force on a peer; zero while the peer is not ready.
type peerVersion struct {
	centre     string
	version    uint64
	receivedAt time.Time
}

func (r *relayer) setFloor(version uint64) {
	if r.versionFloor.known {
		return
	}
	r.versionFloor.known, r.versionFloor.value = true, version
	r.versionFloor.peerVersions = map[string]peerVersion{}
	r.publish()
}

// sendFloor sends a starting node the floor if the store has confirmed the head since that node started, and reports
// whether it did.
func (r *relayer) sendFloor(address string, c *subscriber) bool {
	started := c.heardAt.Add(-time.Duration(c.subscription.UptimeMillis) * time.Millisecond)
	if r.distribution.headConfirmedAt.IsZero() || r.distribution.headConfirmedAt.Before(started) {
		return false
	}
	if !r.distribution.hasHead() {
		return false
	}
	// No node applies an invalid version, so it cannot be the floor. A withheld version can: the relays' own nodes applied
	// it, and must not return to an older one.
	value := r.distribution.newestValid(r.distribution.head.Version())
	c.waitsForFloor = false
	r.send(address, heartbeatKind, &heartbeat{
		Version: r.distribution.confirmedVersion, NodeCount: r.nodeCount(),
		UptimeMillis: c.subscription.UptimeMillis, MinVersion: value, StoreUnreachable: r.store.unreachable,
	})
	return true
}

// sendFloors sends the floor to the nodes that wait for it.
func (r *relayer) sendFloors() {
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		if c := r.server.clients[address]; c.waitsForFloor {
			r.sendFloor(address, c)
		}
	}
}

// tickVersionFloor queries peers for their versions while the store is unreachable and the floor unknown.
func (r *relayer) tickVersionFloor() {
	f := &r.versionFloor
	if f.known || r.now.Sub(r.started) < confirmedFloorTimeout || !(f.storeUnreachable || r.store.unreachable) {
		return
	}
	if !r.now.Before(f.nextQueryAt) {
		f.nextQueryAt = r.now.Add(peerQueryPeriod)
		for _, a := range r.floorPeers() {
			r.send(a, relayQueryKind, &relayQuery{})
		}
	}
	r.takeFloorFromPeers()
}

// floorPeers returns the peers to query for their versions: the seeds and the live relays, without this node.
func (r *relayer) floorPeers() []string {
	set := map[string]bool{}
	for _, a := range r.config.Seeds {
		set[a] = true
	}
	for _, h := range r.leaseTable.selectLive(r.now, func(*knownLease) bool { return true }) {
		set[h.holder] = true
	}
	delete(set, r.config.Node)
	return slices.Sorted(maps.Keys(set))
}

// takeFloorFromPeers sets the floor to the highest version among ready peers once these are in a majority of the known
// data centres.
func (r *relayer) takeFloorFromPeers() {
	f := &r.versionFloor
	centres := map[string]bool{r.config.DataCentre: true}
	for _, c := range r.config.DataCentres {
		centres[c] = true
	}
	for _, h := range r.leaseTable.sorted {
		centres[h.centre] = true
	}
	readyCentres := map[string]bool{}
	var highest uint64
	for _, a := range f.peerVersions {
		centres[a.centre] = true
		if a.version > 0 && r.now.Sub(a.receivedAt) < peerVersionMaxAge {
			readyCentres[a.centre] = true
			highest = max(highest, a.version)
		}
	}
	if 2*len(readyCentres) > len(centres) {
		r.setFloor(highest)
	}
}
