package relayer

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/event"
)

// TestRelaySubscription guards against a relay whose own node has definitions of services that it does not subscribe to:
// its registrar hands over no endpoint sets for them, and no call demands a service that is there.
func TestRelaySubscription(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.converge(15 * time.Second)
	f.sim.Run(5 * time.Second)
	f.accept(func(parts map[string]string) {
		for _, name := range services {
			parts[name] = f.part(`{"name":"` + name + `","version":"2","depends":["meldung"]}`)
		}
	})
	f.converge(5 * time.Second)
	relay := f.holder("obb-a", 0)
	own := f.sim.Config(relay).Service
	for name := range f.forced[relay].Services() {
		if name != own && name != "meldung" {
			t.Errorf("relay %s beside %s has %s", relay, own, name)
		}
	}
	for _, name := range services {
		f.sim.Inject(relay, event.NewLocal(event.SubscriptionNeeded, name))
	}
	f.sim.Run(time.Second)
	for _, name := range services {
		if _, ok := f.forced[relay].Services()[name]; !ok {
			t.Errorf("relay %s lacks %s, which it demanded", relay, name)
		}
	}
	f.finish()
}
