package oracle

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
	"wisteriaspoke.example/mesh/verdict"
)

const (
	leaveBound   = 3 * time.Second // P8
	verdictBound = 3 * time.Second // P4
	acceptBound  = 2 * time.Second // P10
	growBound    = time.Second     // from a verdict to the last growth of a share that crossed it
	firstShare   = 50              // thousandths
	// calm is the time after which a failure has no more effect on how fast changes spread: a lease ends after 3 s, and
	// an endpoint is dropped after 5 s.
	calm          = 15 * time.Second
	foundAtMost   = 20
	resumedBefore = 3 * time.Second
)

// Violation is one broken promise.
type Violation struct {
	promise string
	at      time.Duration // since the start
	text    string
}

// Promise returns the identifier on the design page.
func (f Violation) Promise() string { return f.promise }

// String returns the finding in one line.
func (f Violation) String() string { return fmt.Sprintf("%s at %v: %s", f.promise, f.at, f.text) }

// ruling is a verdict with the time at which the first node had it.
type ruling struct {
	verdict verdict.Verdict
	at      time.Time
}

// promises is the oracle: it knows what was accepted, what failed when, and what the design page promises.
type promises struct {
	fleet    *Fleet
	found    []Violation
	origin   time.Time
	revision string
	head     head.Head
	heads    map[uint64]head.Head
	since    map[uint64]time.Time // when a version stood first
	highest  map[string]uint64    // version by address, over all lives
	intended map[string]bool      // writers who put presets in force
	rulings  map[string]ruling    // by rollout
	faults   []time.Time
	weak     time.Time // when the store last failed or was slow
}

func newPromises(f *Fleet) *promises {
	return &promises{
		fleet: f, origin: f.sim.Now(), heads: map[uint64]head.Head{}, since: map[uint64]time.Time{},
		highest: map[string]uint64{}, intended: map[string]bool{}, rulings: map[string]ruling{},
	}
}

func (p *promises) fail(promise, format string, values ...any) {
	if len(p.found) < foundAtMost {
		at := p.fleet.sim.Now().Sub(p.origin)
		p.found = append(p.found, Violation{promise: promise, at: at, text: fmt.Sprintf(format, values...)})
	}
}

// fault notes that something failed or came back now.
func (p *promises) fault(string) { p.faults = append(p.faults, p.fleet.sim.Now()) }

// troubled reports whether more than one failure counted at any time since the given one; the bounds of the promises
// hold with one failed node.
func (p *promises) troubled(since time.Time) bool {
	if len(p.fleet.cut) > 0 {
		return true
	}
	from := since.Add(-calm)
	recent := 0
	for _, at := range p.faults {
		if at.After(from) {
			recent++
		}
	}
	return recent > 1 || recent == 1 && p.weak.After(from)
}

// look checks the head if it changed.
func (p *promises) look() {
	s := p.fleet.sim.Store()
	if s.Unavailable || s.AnswerLossRate > 0 || s.Latency > time.Second {
		p.weak = p.fleet.sim.Now()
	}
	o := s.Object(head.Plural, head.Name)
	if o.Revision() == p.revision {
		return
	}
	p.revision = o.Revision()
	h, err := head.Decode(o)
	if err != nil {
		p.fail("P3", "the head is malformed: %v", err)
		return
	}
	p.advance(h)
}

// advance checks a new head against the one before.
func (p *promises) advance(h head.Head) {
	old := p.head
	p.head = h
	p.heads[h.Version()] = h
	p.since[h.Version()] = p.fleet.sim.Now()
	if h.Version() != old.Version()+1 {
		p.fail("P10", "the head went from version %d to %d", old.Version(), h.Version())
	}
	if old.Token() != "" && !h.HasToken(old.Token()) {
		p.fail("P10", "version %d does not follow from %d", h.Version(), old.Version())
	}
	changed := h.Preset() != old.Preset() || fmt.Sprint(h.DefinitionDigests()) != fmt.Sprint(old.DefinitionDigests())
	if changed && !p.intended[h.Writer()] && h.Writer() != "corrupter" {
		p.fail("P10", "%s replaced preset %s by %s", h.Writer(), old.Preset(), h.Preset())
	}
	for name, s := range h.Shares() {
		p.checkShare(name, h.Writer(), old.Shares()[name], s)
	}
	p.expect(h)
}

func (p *promises) checkShare(service, writer string, old, s share.Share) {
	if s == old {
		return
	}
	if s.Epoch() < old.Epoch() {
		p.fail("P4", "the share of %s under epoch %d was replaced by one under epoch %d", service, old.Epoch(), s.Epoch())
	}
	if s.Rollout() != old.Rollout() && s.Permille() > firstShare {
		p.fail("P4", "the first share of %s in rollout %s is %d", service, s.Rollout(), s.Permille())
	}
	grown := s.Permille() > old.Permille() || s.Rollout() != old.Rollout() && s.Permille() > 0
	if l := p.fleet.lease("roller-" + service); grown && (l.Holder != writer || l.Epoch != s.Epoch()) {
		p.fail("P4", "%s grew the share of %s to %d under epoch %d; %s holds the lease under epoch %d",
			writer, service, s.Permille(), s.Epoch(), l.Holder, l.Epoch)
	}
	r, judged := p.rulings[s.Rollout()]
	if judged && grown && p.late(r.at, growBound) {
		p.fail("P4", "the share of %s %s grew to %d after the verdict", service, r.verdict.Version(), s.Permille())
	}
}

// late reports whether a change of the given time should be known everywhere by now.
func (p *promises) late(at time.Time, bound time.Duration) bool {
	return p.fleet.sim.Now().Sub(at) > bound && !p.troubled(at)
}

// expect checks later that an accepted version is in force within the bound if nothing failed.
func (p *promises) expect(h head.Head) {
	at := p.fleet.sim.Now()
	p.fleet.sim.After(acceptBound, func() {
		quiet := at.Add(-calm)
		failed := slices.ContainsFunc(p.faults, func(t time.Time) bool { return t.After(quiet) })
		if corrupt(h) || failed || p.weak.After(quiet) || len(p.fleet.cut) > 0 || at.Sub(p.origin) < warmUp {
			return
		}
		for _, address := range p.fleet.sim.Nodes() {
			if p.fleet.rested(address, calm) && p.inForce(address) < h.Version() {
				p.fail("P10", "%s is on version %d, %v after version %d was accepted", address, p.inForce(address), acceptBound, h.Version())
			}
		}
	})
}

// inForce returns the version that calls at the node see.
func (p *promises) inForce(address string) uint64 {
	if s := p.fleet.nodes[address].publisher.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

func corrupt(h head.Head) bool { return h.DefinitionDigests()["meldung"] == malformedDigest() }

// intend notes a writer who may put presets in force.
func (p *promises) intend(writer string) { p.intended[writer] = true }

// told checks what an operator was told of a write.
func (p *promises) told(preset, writer string, version uint64, err error) {
	p.look()
	if err != nil {
		return
	}
	if h := p.heads[version]; h.Preset() != preset || h.Writer() != writer {
		p.fail("P10", "%s was told that %s is version %d, which is %s of %s", writer, preset, version, h.Preset(), h.Writer())
	}
}

// published checks a value that a node's control plane hands to its data path.
func (p *promises) published(now time.Time, address string, value any) {
	switch v := value.(type) {
	case config.Config:
		p.checkConfig(address, v)
	case verdict.Verdict:
		if _, known := p.rulings[v.Rollout()]; !known {
			p.rulings[v.Rollout()] = ruling{verdict: v, at: now}
		}
	}
}

func (p *promises) checkConfig(address string, c config.Config) {
	if c.Version() < p.highest[address] {
		p.fail("P1", "%s went back from version %d to %d", address, p.highest[address], c.Version())
	}
	p.highest[address] = max(p.highest[address], c.Version())
	h, stood := p.heads[c.Version()]
	if !stood {
		p.fail("P10", "%s has version %d in force, which never stood", address, c.Version())
		return
	}
	if c.Preset() != h.Preset() {
		p.fail("P10", "%s has preset %s in force at version %d, which is %s", address, c.Preset(), c.Version(), h.Preset())
	}
	if corrupt(h) {
		p.fail("P3", "%s applied version %d, which has a malformed part", address, c.Version())
	}
	p.checkParts(address, c, h)
}

// checkParts checks that a configuration is its version as a whole, as far as the node subscribes.
func (p *promises) checkParts(address string, c config.Config, h head.Head) {
	for name, s := range c.Services() {
		digest, err := s.Digest()
		if err != nil || digest != h.DefinitionDigests()[name] {
			p.fail("P3", "%s has a definition of %s in version %d that does not belong to it", address, name, c.Version())
		}
		if c.Shares()[name] != h.Shares()[name] {
			p.fail("P3", "%s has a share of %s in version %d that does not belong to it", address, name, c.Version())
		}
	}
	for _, name := range p.subscribed(address, c, h) {
		if _, ok := c.Services()[name]; !ok {
			p.fail("P3", "%s has version %d in force without %s", address, c.Version(), name)
		}
	}
}

// subscribed returns the services of a version that the node must have.
func (p *promises) subscribed(address string, c config.Config, h head.Head) []string {
	own := p.fleet.sim.Config(address).Service
	if _, ok := h.DefinitionDigests()[own]; !ok {
		return nil
	}
	return append([]string{own}, c.Services()[own].Dependencies()...)
}

// seen checks the snapshot that calls of a node now read.
func (p *promises) seen(address string, s *snapshot.Snapshot) {
	if s == nil {
		return
	}
	none := func(string) string { return "" }
	for path, name := range paths {
		_, found, ok := s.Routes().Match("", path, "GET", none)
		if ok && (s.Pool(found.Name()) == nil || found.Name() != name) {
			p.fail("P2", "%s routes %s to %s, which version %d lacks", address, path, found.Name(), s.Version())
		}
	}
}

// called checks one call as the balancer placed it.
func (p *promises) called(address string, s *snapshot.Snapshot, m *snapshot.Member) {
	e := m.Endpoint()
	target := p.fleet.nodes[m.Address()]
	same := e.Incarnation() == p.fleet.sim.Config(m.Address()).Incarnation
	if target.upstream == endpoint.Leaving && same && p.fleet.running(m.Address()) && p.fleet.rested(address, resumedBefore) &&
		p.late(target.changed, leaveBound) {
		p.fail("P8", "%s calls %s, which left %v ago", address, m.Address(), p.fleet.sim.Now().Sub(target.changed))
	}
	split := p.fleet.nodes[address].config.Shares()[e.Service()]
	r, judged := p.rulings[split.Rollout()]
	if judged && e.Version() == r.verdict.Version() && e.Service() == r.verdict.Service() &&
		p.fleet.rested(address, resumedBefore) && p.late(r.at, verdictBound) {
		p.fail("P4", "%s calls version %s %v after the verdict", address, e.Version(), p.fleet.sim.Now().Sub(r.at))
	}
}

// final checks that everything is as it should be once all failures are over.
func (p *promises) final() {
	p.look()
	want := p.settled()
	for _, address := range p.fleet.sim.Nodes() {
		n := p.fleet.nodes[address]
		s := n.publisher.Snapshot()
		if s == nil {
			p.fail("P10", "%s has no configuration", address)
			continue
		}
		if s.Version() < want {
			p.fail("P10", "%s is on version %d at the end, want %d", address, s.Version(), want)
		}
		p.checkSubscription(address, n, s)
		p.checkSets(address, s)
	}
}

// settled returns the last accepted version that is older than the bound for its spread.
func (p *promises) settled() uint64 {
	v := p.head.Version()
	for v > 0 && (corrupt(p.heads[v]) || p.fleet.sim.Now().Sub(p.since[v]) <= acceptBound) {
		v--
	}
	return v
}

// checkSubscription checks that calls see all services that the node subscribed to.
func (p *promises) checkSubscription(address string, n *node, s *snapshot.Snapshot) {
	for name := range n.demanded {
		if _, ok := p.heads[s.Version()].DefinitionDigests()[name]; ok && s.Pool(name) == nil {
			p.fail("P10", "%s has no definition of %s, which it demanded", address, name)
		}
	}
	for name := range n.config.Services() {
		if s.Pool(name) == nil {
			p.fail("P10", "%s was handed %s and calls do not see it", address, name)
		}
	}
}

// checkSets checks that the endpoints that calls see are the ready upstreams of living nodes.
func (p *promises) checkSets(address string, s *snapshot.Snapshot) {
	for name, o := range s.Pools() {
		versions := []*snapshot.VersionEndpoints{o.Stable()}
		if o.Candidate() != nil {
			versions = append(versions, o.Candidate())
		}
		for _, v := range versions {
			got, want := p.members(v), p.upstreams(name, v.Name())
			if !slices.Equal(got, want) {
				p.fail("sets", "%s sees %s %s at [%s], want [%s]", address, name, v.Name(), strings.Join(got, " "), strings.Join(want, " "))
			}
		}
	}
}

func (p *promises) members(v *snapshot.VersionEndpoints) []string {
	var as []string
	for _, m := range v.Members() {
		as = append(as, fmt.Sprintf("%s/%s/%d", m.Address(), m.Endpoint().State(), m.Endpoint().Incarnation()))
	}
	slices.Sort(as)
	return as
}

func (p *promises) upstreams(service, version string) []string {
	var as []string
	for _, a := range p.fleet.sim.Nodes() {
		c := p.fleet.sim.Config(a)
		if c.Service == service && c.Version == version && p.fleet.running(a) && p.fleet.nodes[a].upstream == endpoint.Ready {
			as = append(as, fmt.Sprintf("%s/%s/%d", a, endpoint.Ready, c.Incarnation))
		}
	}
	slices.Sort(as)
	return as
}
