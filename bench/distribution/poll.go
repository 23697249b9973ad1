package distribution

import (
	"fmt"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/object"
)

const (
	minPollPeriod = 2 * time.Second
	// maxPollsPerSecond is the share of the store's 2,000 reads a second available to the polls of the whole fleet.
	maxPollsPerSecond = 1600
)

// poller is the naive baseline: each node polls the head and reads each changed definition.
type poller struct {
	period       time.Duration
	config       machine.Config
	nextPoll     time.Time
	waiting      bool
	requestCount int
	head         head.Head
	knownDigests map[string]string // digest by service
	missing      map[string]bool   // digests
	inFlight     map[string]string // digest by request
	applied      uint64
}

func newPoller(c machine.Config, nodes int) machine.Machine {
	return &poller{
		period: max(minPollPeriod, time.Duration(nodes)*time.Second/maxPollsPerSecond), config: c,
		knownDigests: map[string]string{}, missing: map[string]bool{}, inFlight: map[string]string{},
	}
}

func (p *poller) Step(now time.Time, e event.Event) []effect.Effect {
	switch e.Kind() {
	case event.Tick:
		return p.poll(now)
	case event.StoreReplied:
		p.waiting = false
		if strings.HasPrefix(e.ID(), "part") {
			return p.handleDefinition(e)
		}
		return p.handleHead(e)
	}
	return nil
}

func (p *poller) poll(now time.Time) []effect.Effect {
	if p.nextPoll.IsZero() {
		p.nextPoll = now.Add(time.Duration(p.config.Rand.Int64N(int64(p.period))))
	}
	if p.waiting || now.Before(p.nextPoll) {
		return nil
	}
	p.waiting = true
	p.nextPoll = now.Add(p.period)
	return []effect.Effect{effect.NewStoreRequest(effect.Get, "head", object.New(head.Plural, head.Name, "", nil))}
}

func (p *poller) handleHead(e event.Event) []effect.Effect {
	h, err := head.Decode(e.Object())
	if e.Err() != nil || err != nil || h.Version() <= p.applied {
		return nil
	}
	p.head = h
	var fs []effect.Effect
	clear(p.missing)
	for service, digest := range h.DefinitionDigests() {
		if p.knownDigests[service] == digest {
			continue
		}
		p.missing[digest] = true
		p.requestCount++
		id := fmt.Sprint("part", p.requestCount)
		p.inFlight[id] = digest
		fs = append(fs, effect.NewStoreRequest(effect.Get, id, object.New("parts", digest, "", nil)))
	}
	return append(fs, p.apply()...)
}

func (p *poller) handleDefinition(e event.Event) []effect.Effect {
	digest := p.inFlight[e.ID()]
	delete(p.inFlight, e.ID())
	if e.Err() != nil {
		return nil
	}
	delete(p.missing, digest)
	return p.apply()
}

func (p *poller) apply() []effect.Effect {
	if len(p.missing) > 0 || p.head.Version() <= p.applied {
		return nil
	}
	p.applied = p.head.Version()
	for service, digest := range p.head.DefinitionDigests() {
		p.knownDigests[service] = digest
	}
	return []effect.Effect{effect.NewPublish(config.New(p.applied, p.head.Preset(), nil, nil))}
}
