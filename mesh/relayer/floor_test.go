package relayer

import (
	"math/rand/v2"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/machine"
)

// TestFloorNeedsMajority guards against a floor that is taken from a minority of the data centres: it misses a newer
// version in force elsewhere, and the restarted node serves an older version than before.
func TestFloorNeedsMajority(t *testing.T) {
	r := New(machine.Config{
		Node: "a-0", DataCentre: "a", Region: "a", Rand: rand.New(rand.NewPCG(1, 1)),
		Seeds: []string{"a-1", "b-1", "c-1"}, DataCentres: []string{"a", "b", "c"},
	}).(*relayer)
	r.now = time.Unix(1000, 0)
	r.versionFloor.peerVersions = map[string]peerVersion{"a-1": {centre: "a", version: 7, receivedAt: r.now}}
	r.takeFloorFromPeers()
	if r.versionFloor.known {
		t.Fatalf("floor %d is taken from one of three data centres", r.versionFloor.value)
	}
	r.versionFloor.peerVersions["b-1"] = peerVersion{centre: "b", version: 9, receivedAt: r.now}
	r.takeFloorFromPeers()
	if !r.versionFloor.known || r.versionFloor.value != 9 {
		t.Errorf("floor known %v, value %d, want 9", r.versionFloor.known, r.versionFloor.value)
	}
}
