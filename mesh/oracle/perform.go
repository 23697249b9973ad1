package oracle

import (
	"context"
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/head"
)

func (f *Fleet) perform(a Action) {
	all := f.sim.Nodes()
	address := all[a.Subject%len(all)]
	dc := f.centres[a.Subject%len(f.centres)]
	store := f.sim.Store()
	switch a.Kind {
	case UsePreset:
		f.use(a.Subject, 0)
	case ConcurrentUse:
		f.use(a.Subject, 0)
		f.use(a.Subject+1, 0)
	case MoveGood:
		f.move(secondGood)
	case MoveBad:
		f.move(badVersion)
	case TakeBack:
		f.takeBack()
	case CorruptHead:
		f.corrupt()
	case Kill:
		f.kill(address)
	case Restart:
		f.restart()
	case Pause:
		f.freeze(address)
	case Resume:
		f.thaw()
	case KillHalf:
		for i := a.Subject % 2; i < len(all); i += 2 {
			f.kill(all[i])
		}
	case KillRelays:
		f.killRelays(dc)
	case KillAllRelays:
		for _, c := range f.centres {
			f.killRelays(c)
		}
	case PauseRelay:
		f.freeze(f.holder("relay-" + dc + "-0"))
	case PauseRoller:
		f.freeze(f.holder("roller-" + mover))
	case PartitionRegion:
		f.cut[regions[a.Subject%len(regions)]] = true
		f.promises.fault("cut")
	case HealPartitions:
		clear(f.cut)
		f.promises.fault("heal")
	case StoreOutage:
		store.SetUnavailable(true)
	case StoreRestored:
		f.storeIn()
	case StoreSlow:
		store.Latency = slowLatency
	case StoreLossy:
		store.AnswerLossRate = lossyShare
	case UpstreamLeaves:
		f.become(address, endpoint.Leaving)
	case UpstreamUnready:
		f.become(address, endpoint.Starting)
	case UpstreamsReady:
		f.recover()
	case SubscriptionNeeded:
		f.demand(address, services[a.Subject%len(services)])
	default:
		panic(fmt.Sprintf("oracle: unknown action %q", a.Kind))
	}
}

// heal ends all failures. An operator replaces a malformed head, below which nodes that start without memory do not go.
func (f *Fleet) heal() {
	clear(f.cut)
	f.storeIn()
	f.thaw()
	f.restart()
	f.recover()
	f.promises.look()
	if corrupt(f.promises.head) {
		f.use(0, patience)
	}
}

func (f *Fleet) storeIn() {
	s := f.sim.Store()
	s.SetUnavailable(false)
	s.Latency, s.AnswerLossRate = 2*time.Millisecond, 0
}

// use puts a preset in force. With a limit it tries again until then, as an operator would.
func (f *Fleet) use(subject int, limit time.Duration) {
	name := definitions[subject%len(definitions)].name
	until := f.sim.Now().Add(limit)
	f.command(func(a *accepter.Accepter, writer string) {
		f.promises.intend(writer)
		for {
			version, err := a.Use(context.Background(), name, writer)
			f.promises.told(name, writer, version, err)
			if err == nil || !f.sim.Now().Before(until) {
				return
			}
		}
	})
}

func (f *Fleet) move(version string) {
	f.command(func(a *accepter.Accepter, writer string) {
		r := &accepter.Rollouts{Accepter: a, Now: f.sim.Now}
		// A refusal is one of the expected outcomes: a move may be under way.
		_, _ = r.Create(context.Background(), accepter.Request{
			Service: mover, Version: version, Deadline: f.sim.Now().Add(moveTime), Settle: settleTime, Writer: writer,
		})
	})
}

func (f *Fleet) takeBack() {
	f.command(func(a *accepter.Accepter, writer string) {
		r := &accepter.Rollouts{Accepter: a, Now: f.sim.Now}
		_, _ = r.TakeBack(context.Background(), mover, writer)
	})
}

// corrupt writes a head with a part that is no definition, past all checks.
func (f *Fleet) corrupt() {
	o := f.sim.Store().Object(head.Plural, head.Name)
	h, err := head.Decode(o)
	must(err)
	if h.Version() == 0 || f.sim.Store().Unavailable {
		return
	}
	parts := map[string]string{}
	for name, digest := range h.DefinitionDigests() {
		parts[name] = digest
	}
	parts["meldung"] = malformedDigest()
	spec, err := h.WithPreset("malformed", parts, token(f.sim), "corrupter").Encode()
	must(err)
	f.sim.Store().Put(head.Plural, head.Name, spec)
}

func (f *Fleet) kill(address string) {
	if address == "" || !f.sim.Alive(address) {
		return
	}
	f.sim.Kill(address)
	f.nodes[address].frozen = false
	f.promises.fault("kill " + address)
}

func (f *Fleet) killRelays(dc string) {
	f.kill(f.holder("relay-" + dc + "-0"))
	f.kill(f.holder("relay-" + dc + "-1"))
}

func (f *Fleet) restart() {
	for _, address := range f.sim.Nodes() {
		if f.sim.Alive(address) {
			continue
		}
		f.nodes[address] = f.begin(f.sim.Config(address))
		f.sim.Restart(address)
		f.welcome(address)
		f.promises.fault("restart " + address)
	}
}

func (f *Fleet) freeze(address string) {
	if address == "" || !f.running(address) {
		return
	}
	f.nodes[address].frozen = true
	f.sim.Pause(address)
	f.promises.fault("freeze " + address)
}

func (f *Fleet) thaw() {
	for _, address := range f.sim.Nodes() {
		n := f.nodes[address]
		if !n.frozen {
			continue
		}
		n.frozen = false
		n.resumed = f.sim.Now()
		f.sim.Resume(address)
		f.promises.fault("thaw " + address)
	}
}

func (f *Fleet) recover() {
	for _, address := range f.sim.Nodes() {
		if f.nodes[address].upstream == endpoint.Starting {
			f.become(address, endpoint.Ready)
		}
	}
}

func (f *Fleet) demand(address, service string) {
	if f.running(address) {
		f.nodes[address].demanded[service] = true
		f.miss(address)
	}
}
