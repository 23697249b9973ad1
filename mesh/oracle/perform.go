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
	dc := f.dataCentres[a.Subject%len(f.dataCentres)]
	store := f.sim.Store()
	switch a.Kind {
	case UsePreset:
		f.usePreset(a.Subject, 0)
	case ConcurrentUse:
		f.usePreset(a.Subject, 0)
		f.usePreset(a.Subject+1, 0)
	case MoveGood:
		f.startRollout(secondGoodVersion)
	case MoveBad:
		f.startRollout(badVersion)
	case TakeBack:
		f.takeBack()
	case CorruptHead:
		f.writeCorruptHead()
	case Kill:
		f.kill(address)
	case Restart:
		f.restart()
	case Pause:
		f.pause(address)
	case Resume:
		f.resumeAll()
	case KillHalf:
		for i := a.Subject % 2; i < len(all); i += 2 {
			f.kill(all[i])
		}
	case KillRelays:
		f.killRelays(dc)
	case KillAllRelays:
		for _, c := range f.dataCentres {
			f.killRelays(c)
		}
	case PauseRelay:
		f.pause(f.holder("relay-" + dc + "-0"))
	case PauseRoller:
		f.pause(f.holder("roller-" + rolloutService))
	case PartitionRegion:
		f.partitioned[regions[a.Subject%len(regions)]] = true
		f.checker.recordFault("cut")
	case HealPartitions:
		clear(f.partitioned)
		f.checker.recordFault("heal")
	case StoreOutage:
		store.SetUnavailable(true)
	case StoreRestored:
		f.restoreStore()
	case StoreSlow:
		store.Latency = slowLatency
	case StoreLossy:
		store.AnswerLossRate = lossyAnswerRate
	case UpstreamLeaves:
		f.setUpstreamState(address, endpoint.Leaving)
	case UpstreamUnready:
		f.setUpstreamState(address, endpoint.Starting)
	case UpstreamsReady:
		f.makeUpstreamsReady()
	case SubscriptionNeeded:
		f.needService(address, services[a.Subject%len(services)])
	default:
		panic(fmt.Sprintf("oracle: unknown action %q", a.Kind))
	}
}

// healAll ends all failures. An operator replaces a malformed head, because nodes that start without state apply no
// version below the head.
func (f *Fleet) healAll() {
	clear(f.partitioned)
	f.restoreStore()
	f.resumeAll()
	f.restart()
	f.makeUpstreamsReady()
	f.checker.observeStore()
	if isCorrupt(f.checker.head) {
		f.usePreset(0, commandTimeout)
	}
}

func (f *Fleet) restoreStore() {
	s := f.sim.Store()
	s.SetUnavailable(false)
	s.Latency, s.AnswerLossRate = 2*time.Millisecond, 0
}

// usePreset activates a preset. It retries until limit has passed, as an operator would.
func (f *Fleet) usePreset(subject int, limit time.Duration) {
	name := presetDefinitions[subject%len(presetDefinitions)].name
	until := f.sim.Now().Add(limit)
	f.runCommand(func(a *accepter.Accepter, writer string) {
		f.checker.allowWriter(writer)
		for {
			version, err := a.Use(context.Background(), name, writer)
			f.checker.checkWriteResult(name, writer, version, err)
			if err == nil || !f.sim.Now().Before(until) {
				return
			}
		}
	})
}

func (f *Fleet) startRollout(version string) {
	f.runCommand(func(a *accepter.Accepter, writer string) {
		r := &accepter.Rollouts{Accepter: a, Now: f.sim.Now}
		// The error is ignored: a refusal is expected while another rollout is in progress.
		_, _ = r.Create(context.Background(), accepter.Request{
			Service: rolloutService, Version: version, Deadline: f.sim.Now().Add(rolloutTimeout), Settle: settleTime, Writer: writer,
		})
	})
}

func (f *Fleet) takeBack() {
	f.runCommand(func(a *accepter.Accepter, writer string) {
		r := &accepter.Rollouts{Accepter: a, Now: f.sim.Now}
		_, _ = r.TakeBack(context.Background(), rolloutService, writer)
	})
}

// writeCorruptHead stores a head that refers to a malformed definition, bypassing validation.
func (f *Fleet) writeCorruptHead() {
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
	spec, err := h.WithPreset("malformed", parts, newToken(f.sim), "corrupter").Encode()
	must(err)
	f.sim.Store().Put(head.Plural, head.Name, spec)
}

func (f *Fleet) kill(address string) {
	if address == "" || !f.sim.Alive(address) {
		return
	}
	f.sim.Kill(address)
	f.nodes[address].paused = false
	f.checker.recordFault("kill " + address)
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
		f.nodes[address] = f.newNode(f.sim.Config(address))
		f.sim.Restart(address)
		f.scheduleUpstreamReady(address)
		f.checker.recordFault("restart " + address)
	}
}

func (f *Fleet) pause(address string) {
	if address == "" || !f.running(address) {
		return
	}
	f.nodes[address].paused = true
	f.sim.Pause(address)
	f.checker.recordFault("freeze " + address)
}

func (f *Fleet) resumeAll() {
	for _, address := range f.sim.Nodes() {
		n := f.nodes[address]
		if !n.paused {
			continue
		}
		n.paused = false
		n.runningSince = f.sim.Now()
		f.sim.Resume(address)
		f.checker.recordFault("thaw " + address)
	}
}

func (f *Fleet) makeUpstreamsReady() {
	for _, address := range f.sim.Nodes() {
		if f.nodes[address].upstream == endpoint.Starting {
			f.setUpstreamState(address, endpoint.Ready)
		}
	}
}

func (f *Fleet) needService(address, service string) {
	if f.running(address) {
		f.nodes[address].neededServices[service] = true
		f.requestMissingDefinitions(address)
	}
}
