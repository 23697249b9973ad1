package oracle

import (
	"fmt"
	"time"
)

// Kind is what an action does.
type Kind string

// The kinds of actions. Subject selects a node, a data centre, a region or a preset, modulo their number.
const (
	UsePreset          Kind = "use"         // an operator puts preset Subject in force
	ConcurrentUse      Kind = "race"        // two operators put different presets in force at once
	MoveGood           Kind = "move good"   // an operator asks for a move to a good version
	MoveBad            Kind = "move bad"    // an operator asks for a move to a version that fails calls
	TakeBack           Kind = "take back"   // an operator takes the move back
	CorruptHead        Kind = "corrupt"     // a head with a malformed part gets past the checks
	Kill               Kind = "kill"        // node Subject dies
	Restart            Kind = "restart"     // all dead nodes start without memory
	Pause              Kind = "freeze"      // node Subject is paused
	Resume             Kind = "thaw"        // all paused nodes go on
	KillHalf           Kind = "kill half"   // every second node dies
	KillRelays         Kind = "kill relays" // the holders of all relay leases of data centre Subject die
	KillAllRelays      Kind = "kill relays everywhere"
	PauseRelay         Kind = "freeze lead" // the holder of the first relay lease of data centre Subject is paused
	PauseRoller        Kind = "freeze move" // the holder of the move's lease is paused
	PartitionRegion    Kind = "cut"         // region Subject loses contact to the others
	HealPartitions     Kind = "heal"        // all regions have contact
	StoreOutage        Kind = "store out"
	StoreRestored      Kind = "store in"    // the store answers, fast and reliably
	StoreSlow          Kind = "store slow"  // each request takes 1.5 s
	StoreLossy         Kind = "store lossy" // 40% of the answers to writes are lost after the effect
	UpstreamLeaves     Kind = "leave"       // the upstream of node Subject leaves
	UpstreamUnready    Kind = "stumble"     // the upstream of node Subject takes no calls
	UpstreamsReady     Kind = "recover"     // all upstreams that stumbled take calls
	SubscriptionNeeded Kind = "demand"      // node Subject has calls for a service that it may not subscribe to
)

// Kinds lists all kinds of actions.
var Kinds = []Kind{
	UsePreset, ConcurrentUse, MoveGood, MoveBad, TakeBack, CorruptHead, Kill, Restart, Pause, Resume, KillHalf, KillRelays, KillAllRelays, PauseRelay,
	PauseRoller, PartitionRegion, HealPartitions, StoreOutage, StoreRestored, StoreSlow, StoreLossy, UpstreamLeaves, UpstreamUnready, UpstreamsReady, SubscriptionNeeded,
}

// Action is one step of a plan; WaitMillis is the time in milliseconds that passes after it.
type Action struct {
	Kind       Kind
	Subject    int
	WaitMillis int
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%s %d, then %v", a.Kind, a.Subject, time.Duration(a.WaitMillis)*time.Millisecond)
}
