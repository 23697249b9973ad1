package relayer

import (
	"math/rand/v2"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/machine"
)

// TestFloorNeedsMajority guards against a floor from too few data centres: a version that only the others have in force
// would be missed, and the node would go back behind what its predecessor served.
func TestFloorNeedsMajority(t *testing.T) {
	r := New(machine.Config{
		Node: "a-0", DataCentre: "a", Region: "a", Rand: rand.New(rand.NewPCG(1, 1)),
		Seeds: []string{"a-1", "b-1", "c-1"}, DataCentres: []string{"a", "b", "c"},
	}).(*relayer)
	r.now = time.Unix(1000, 0)
	r.floor.answers = map[string]answer{"a-1": {centre: "a", version: 7, at: r.now}}
	r.countAnswers()
	if r.floor.known {
		t.Fatalf("floor %d is taken from one of three data centres", r.floor.value)
	}
	r.floor.answers["b-1"] = answer{centre: "b", version: 9, at: r.now}
	r.countAnswers()
	if !r.floor.known || r.floor.value != 9 {
		t.Errorf("floor known %v, value %d, want 9", r.floor.known, r.floor.value)
	}
}
