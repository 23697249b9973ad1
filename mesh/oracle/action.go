package oracle

import (
	"fmt"
	"time"
)

// Kind is what an action does.
type Kind string

// The kinds of actions. Subject selects a node, a data centre, a region or a preset, modulo their number.
const (
	Use        Kind = "use"         // an operator puts preset Subject in force
	Race       Kind = "race"        // two operators put different presets in force at once
	MoveGood   Kind = "move good"   // an operator asks for a move to a good version
	MoveBad    Kind = "move bad"    // an operator asks for a move to a version that fails calls
	TakeBack   Kind = "take back"   // an operator takes the move back
	Corrupt    Kind = "corrupt"     // a head with a malformed part gets past the checks
	Kill       Kind = "kill"        // node Subject dies
	Restart    Kind = "restart"     // all dead nodes start without memory
	Freeze     Kind = "freeze"      // node Subject is paused
	Thaw       Kind = "thaw"        // all paused nodes go on
	KillHalf   Kind = "kill half"   // every second node dies
	KillRelays Kind = "kill relays" // the holders of all relay leases of data centre Subject die
	KillAll    Kind = "kill relays everywhere"
	FreezeLead Kind = "freeze lead" // the holder of the first relay lease of data centre Subject is paused
	FreezeMove Kind = "freeze move" // the holder of the move's lease is paused
	Cut        Kind = "cut"         // region Subject loses contact to the others
	Heal       Kind = "heal"        // all regions have contact
	StoreOut   Kind = "store out"
	StoreIn    Kind = "store in"    // the store answers, fast and reliably
	StoreSlow  Kind = "store slow"  // each request takes 1.5 s
	StoreLossy Kind = "store lossy" // 40% of the answers to writes are lost after the effect
	Leave      Kind = "leave"       // the upstream of node Subject leaves
	Stumble    Kind = "stumble"     // the upstream of node Subject takes no calls
	Recover    Kind = "recover"     // all upstreams that stumbled take calls
	Demand     Kind = "demand"      // node Subject has calls for a service that it may not subscribe to
)

// Kinds lists all kinds of actions.
var Kinds = []Kind{
	Use, Race, MoveGood, MoveBad, TakeBack, Corrupt, Kill, Restart, Freeze, Thaw, KillHalf, KillRelays, KillAll, FreezeLead,
	FreezeMove, Cut, Heal, StoreOut, StoreIn, StoreSlow, StoreLossy, Leave, Stumble, Recover, Demand,
}

// Action is one step of a plan; Wait is the time in milliseconds that passes after it.
type Action struct {
	Kind    Kind
	Subject int
	Wait    int
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%s %d, then %v", a.Kind, a.Subject, time.Duration(a.Wait)*time.Millisecond)
}
