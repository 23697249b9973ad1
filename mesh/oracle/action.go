package oracle

import (
	"fmt"
	"time"
)

// Kind identifies the operation that an action performs.
type Kind string

// Action kinds. Subject modulo the number of nodes, data centres, regions or presets selects one of them.
const (
	UsePreset          Kind = "use"         // an operator activates preset Subject
	ConcurrentUse      Kind = "race"        // two operators activate different presets concurrently
	MoveGood           Kind = "move good"   // an operator starts a rollout of a good version
	MoveBad            Kind = "move bad"    // an operator starts a rollout of a version that fails calls
	TakeBack           Kind = "take back"   // an operator rolls the rollout back
	CorruptHead        Kind = "corrupt"     // a head that refers to a malformed definition is stored without validation
	Kill               Kind = "kill"        // node Subject is killed
	Restart            Kind = "restart"     // all killed nodes start without their earlier state
	Pause              Kind = "freeze"      // node Subject is paused
	Resume             Kind = "thaw"        // all paused nodes resume
	KillHalf           Kind = "kill half"   // every second node is killed
	KillRelays         Kind = "kill relays" // the holders of all relay leases of data centre Subject are killed
	KillAllRelays      Kind = "kill relays everywhere"
	PauseRelay         Kind = "freeze lead" // the holder of the first relay lease of data centre Subject is paused
	PauseRoller        Kind = "freeze move" // the holder of the rollout's lease is paused
	PartitionRegion    Kind = "cut"         // region Subject is partitioned from the other regions
	HealPartitions     Kind = "heal"        // all regions can reach each other again
	StoreOutage        Kind = "store out"
	StoreRestored      Kind = "store in"    // the store replies quickly and reliably
	StoreSlow          Kind = "store slow"  // each request takes 1.5 s
	StoreLossy         Kind = "store lossy" // 40% of the replies to writes are lost after the write was processed
	UpstreamLeaves     Kind = "leave"       // the upstream of node Subject leaves
	UpstreamUnready    Kind = "stumble"     // the upstream of node Subject stops accepting calls
	UpstreamsReady     Kind = "recover"     // all unready upstreams accept calls again
	SubscriptionNeeded Kind = "demand"      // node Subject has calls for a service to which it might not be subscribed
)

// Kinds lists all kinds of actions.
var Kinds = []Kind{
	UsePreset, ConcurrentUse, MoveGood, MoveBad, TakeBack, CorruptHead, Kill, Restart, Pause, Resume, KillHalf, KillRelays, KillAllRelays, PauseRelay,
	PauseRoller, PartitionRegion, HealPartitions, StoreOutage, StoreRestored, StoreSlow, StoreLossy, UpstreamLeaves, UpstreamUnready, UpstreamsReady, SubscriptionNeeded,
}

// Action is one step of a plan, followed by a wait of WaitMillis in virtual time.
type Action struct {
	Kind       Kind
	Subject    int
	WaitMillis int
}

// String describes the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%s %d, then %v", a.Kind, a.Subject, time.Duration(a.WaitMillis)*time.Millisecond)
}
