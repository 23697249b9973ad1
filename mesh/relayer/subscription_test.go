package relayer

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/event"
)

// TestRelaySubscription guards against a relay whose own node gets definitions of services that it does not subscribe
// to. Its registrar provides no endpoint sets for them, and a call does not demand a service that is already defined.
func TestRelaySubscription(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.converge(15 * time.Second)
	f.sim.Run(5 * time.Second)
	f.accept(func(digests map[string]string) {
		for _, name := range services {
			digests[name] = f.storeDefinition(`{"name":"` + name + `","version":"2","depends":["meldung"]}`)
		}
	})
	f.converge(5 * time.Second)
	relay := f.holder("obb-a", 0)
	ownService := f.sim.Config(relay).Service
	for name := range f.inForce[relay].Services() {
		if name != ownService && name != "meldung" {
			t.Errorf("relay %s beside %s has %s", relay, ownService, name)
		}
	}
	for _, name := range services {
		f.sim.Inject(relay, event.NewLocal(event.SubscriptionNeeded, name))
	}
	f.sim.Run(time.Second)
	for _, name := range services {
		if _, ok := f.inForce[relay].Services()[name]; !ok {
			t.Errorf("relay %s lacks %s, which it demanded", relay, name)
		}
	}
	f.finish()
}
