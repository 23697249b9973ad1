package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/record"
)

// prover keeps how fresh the configuration in force is.
type prover interface {
	// Prove records that a read of the store which began at the time, by this host's boot-time clock, found no
	// configuration newer than the version; it must not block.
	Prove(began time.Duration, version uint64)
	// Proves reports whether proofs are kept.
	Proves() bool
}

// findProver returns the part that keeps proofs, or nil if there is none or it is off.
func findProver(k *kernel.Kernel) prover {
	for _, p := range kernel.All[prover](k) {
		if p.Proves() {
			return p
		}
	}
	return nil
}

// storeRead is a read of the configuration that has ended.
type storeRead struct {
	records []record.Record
	began   time.Duration
}

// AddRead adds the result of a read of the configuration that began at the time, by this host's boot-time clock. It
// reports false if the result is lost, so that only a list reads it again.
func (g *Gossiper) AddRead(rs []record.Record, began time.Duration) bool {
	if len(rs) == 0 && g.prover == nil {
		return true
	}
	return g.enqueue(storeRead{records: rs, began: began})
}

// handleRead applies the records of a read and then has it recorded as a proof, unless there may be a configuration without
// some key that this node does not have: the plan's object has been changed to something that cannot be read, or a linked
// node has a newer version, which the store has lost in a restore.
func (g *Gossiper) handleRead(r storeRead) {
	if len(r.records) > 0 {
		g.handle(storeRecords(r.records))
	}
	if g.prover != nil && g.plan != nil && !g.planObject.refused && !g.newerPlanKnown() {
		g.prover.Prove(r.began, g.plan.Version())
	}
}

// newerPlanKnown reports whether a linked node has a configuration of a higher version, which this node is about to pull.
func (g *Gossiper) newerPlanKnown() bool {
	for _, p := range g.peers {
		if p.linked && p.revisions().Configuration > g.plan.Version() {
			return true
		}
	}
	return false
}

// planObject is the object of the store that the plan was read from.
type planObject struct {
	name    string // empty before the first plan
	refused bool   // its newest content is not a configuration
}

// refuse records that the newest content of the object is not a configuration.
func (o *planObject) refuse(name string) { o.refused = o.refused || o.name == "" || o.name == name }

// accept records that the newest content of the object is a configuration.
func (o *planObject) accept(name string) {
	if o.name == name || o.name == "" {
		*o = planObject{name: name}
	}
}
