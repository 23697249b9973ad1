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
	leaveBound            = 3 * time.Second // P8
	verdictBound          = 3 * time.Second // P4
	activationBound       = 2 * time.Second // P10
	growthBound           = time.Second     // how long after a verdict a concurrent share increase is allowed
	maxFirstSharePermille = 50
	// faultEffectTime is how long a failure may slow the propagation of changes: a lease expires after 3 s, and an
	// endpoint is dropped after 5 s.
	faultEffectTime = 15 * time.Second
	maxViolations   = 20
	minRunningTime  = 3 * time.Second
)

// Violation describes an observed breach of a guarantee of the design page.
type Violation struct {
	promise string
	at      time.Duration // since the start
	text    string
}

// Promise returns the identifier of the violated guarantee on the design page.
func (v Violation) Promise() string { return v.promise }

// String describes the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.promise, v.at, v.text) }

// firstVerdict is a verdict and the time at which a node first published it.
type firstVerdict struct {
	verdict verdict.Verdict
	at      time.Time
}

// checker records accepted heads and failures and checks the guarantees of the design page.
type checker struct {
	fleet           *Fleet
	violations      []Violation
	startTime       time.Time
	revision        string
	head            head.Head
	heads           map[uint64]head.Head
	acceptedAt      map[uint64]time.Time    // when each version was first observed in the store
	highestVersions map[string]uint64       // by address, across restarts
	presetWriters   map[string]bool         // writers that may activate presets
	firstVerdicts   map[string]firstVerdict // by rollout
	faults          []time.Time
	lastStoreFault  time.Time // when the store last failed or was slow
}

func newChecker(f *Fleet) *checker {
	return &checker{
		fleet: f, startTime: f.sim.Now(), heads: map[uint64]head.Head{}, acceptedAt: map[uint64]time.Time{},
		highestVersions: map[string]uint64{}, presetWriters: map[string]bool{}, firstVerdicts: map[string]firstVerdict{},
	}
}

func (ck *checker) addViolation(promise, format string, values ...any) {
	if len(ck.violations) < maxViolations {
		at := ck.fleet.sim.Now().Sub(ck.startTime)
		ck.violations = append(ck.violations, Violation{promise: promise, at: at, text: fmt.Sprintf(format, values...)})
	}
}

// recordFault records the time of a failure or recovery.
func (ck *checker) recordFault(string) { ck.faults = append(ck.faults, ck.fleet.sim.Now()) }

// boundsSuspended reports whether more failures are recent than the time bounds allow: they hold with one failed node.
func (ck *checker) boundsSuspended(since time.Time) bool {
	if len(ck.fleet.partitioned) > 0 {
		return true
	}
	from := since.Add(-faultEffectTime)
	recent := 0
	for _, at := range ck.faults {
		if at.After(from) {
			recent++
		}
	}
	return recent > 1 || recent == 1 && ck.lastStoreFault.After(from)
}

// observeStore records a slow or failing store and checks the head if it changed.
func (ck *checker) observeStore() {
	s := ck.fleet.sim.Store()
	if s.Unavailable || s.AnswerLossRate > 0 || s.Latency > time.Second {
		ck.lastStoreFault = ck.fleet.sim.Now()
	}
	o := s.Object(head.Plural, head.Name)
	if o.Revision() == ck.revision {
		return
	}
	ck.revision = o.Revision()
	h, err := head.Decode(o)
	if err != nil {
		ck.addViolation("P3", "the head is malformed: %v", err)
		return
	}
	ck.checkHead(h)
}

// checkHead checks a new head against the previous one.
func (ck *checker) checkHead(h head.Head) {
	old := ck.head
	ck.head = h
	ck.heads[h.Version()] = h
	ck.acceptedAt[h.Version()] = ck.fleet.sim.Now()
	if h.Version() != old.Version()+1 {
		ck.addViolation("P10", "the head went from version %d to %d", old.Version(), h.Version())
	}
	if old.Token() != "" && !h.HasToken(old.Token()) {
		ck.addViolation("P10", "version %d does not follow from %d", h.Version(), old.Version())
	}
	changed := h.Preset() != old.Preset() || fmt.Sprint(h.DefinitionDigests()) != fmt.Sprint(old.DefinitionDigests())
	if changed && !ck.presetWriters[h.Writer()] && h.Writer() != "corrupter" {
		ck.addViolation("P10", "%s replaced preset %s by %s", h.Writer(), old.Preset(), h.Preset())
	}
	for name, s := range h.Shares() {
		ck.checkShare(name, h.Writer(), old.Shares()[name], s)
	}
	ck.scheduleActivationCheck(h)
}

func (ck *checker) checkShare(service, writer string, old, s share.Share) {
	if s == old {
		return
	}
	if s.Epoch() < old.Epoch() {
		ck.addViolation("P4", "the share of %s under epoch %d was replaced by one under epoch %d", service, old.Epoch(), s.Epoch())
	}
	if s.Rollout() != old.Rollout() && s.Permille() > maxFirstSharePermille {
		ck.addViolation("P4", "the first share of %s in rollout %s is %d", service, s.Rollout(), s.Permille())
	}
	grown := s.Permille() > old.Permille() || s.Rollout() != old.Rollout() && s.Permille() > 0
	if l := ck.fleet.lease("roller-" + service); grown && (l.Holder != writer || l.Epoch != s.Epoch()) {
		ck.addViolation("P4", "%s grew the share of %s to %d under epoch %d; %s holds the lease under epoch %d",
			writer, service, s.Permille(), s.Epoch(), l.Holder, l.Epoch)
	}
	r, hasVerdict := ck.firstVerdicts[s.Rollout()]
	if hasVerdict && grown && ck.overdue(r.at, growthBound) {
		ck.addViolation("P4", "the share of %s %s grew to %d after the verdict", service, r.verdict.Version(), s.Permille())
	}
}

// overdue reports whether a change made at the given time must have reached every node by now.
func (ck *checker) overdue(at time.Time, bound time.Duration) bool {
	return ck.fleet.sim.Now().Sub(at) > bound && !ck.boundsSuspended(at)
}

// scheduleActivationCheck checks that an accepted version is active within activationBound if nothing failed.
func (ck *checker) scheduleActivationCheck(h head.Head) {
	at := ck.fleet.sim.Now()
	ck.fleet.sim.After(activationBound, func() {
		faultFreeSince := at.Add(-faultEffectTime)
		failed := slices.ContainsFunc(ck.faults, func(t time.Time) bool { return t.After(faultFreeSince) })
		if isCorrupt(h) || failed || ck.lastStoreFault.After(faultFreeSince) || len(ck.fleet.partitioned) > 0 || at.Sub(ck.startTime) < warmUp {
			return
		}
		for _, address := range ck.fleet.sim.Nodes() {
			if ck.fleet.runningFor(address, faultEffectTime) && ck.activeVersion(address) < h.Version() {
				ck.addViolation("P10", "%s is on version %d, %v after version %d was accepted", address, ck.activeVersion(address), activationBound, h.Version())
			}
		}
	})
}

// activeVersion returns the version used by calls at the node.
func (ck *checker) activeVersion(address string) uint64 {
	if s := ck.fleet.nodes[address].publisher.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

func isCorrupt(h head.Head) bool { return h.DefinitionDigests()["meldung"] == malformedDigest() }

// allowWriter records a writer that may activate presets.
func (ck *checker) allowWriter(writer string) { ck.presetWriters[writer] = true }

// checkWriteResult checks the result that an operator received for a write.
func (ck *checker) checkWriteResult(preset, writer string, version uint64, err error) {
	ck.observeStore()
	if err != nil {
		return
	}
	if h := ck.heads[version]; h.Preset() != preset || h.Writer() != writer {
		ck.addViolation("P10", "%s was told that %s is version %d, which is %s of %s", writer, preset, version, h.Preset(), h.Writer())
	}
}

// observePublished checks a value that a node's control plane publishes to its data path.
func (ck *checker) observePublished(now time.Time, address string, value any) {
	switch v := value.(type) {
	case config.Config:
		ck.checkConfig(address, v)
	case verdict.Verdict:
		if _, known := ck.firstVerdicts[v.Rollout()]; !known {
			ck.firstVerdicts[v.Rollout()] = firstVerdict{verdict: v, at: now}
		}
	}
}

func (ck *checker) checkConfig(address string, c config.Config) {
	if c.Version() < ck.highestVersions[address] {
		ck.addViolation("P1", "%s went back from version %d to %d", address, ck.highestVersions[address], c.Version())
	}
	ck.highestVersions[address] = max(ck.highestVersions[address], c.Version())
	h, accepted := ck.heads[c.Version()]
	if !accepted {
		ck.addViolation("P10", "%s has version %d in force, which never stood", address, c.Version())
		return
	}
	if c.Preset() != h.Preset() {
		ck.addViolation("P10", "%s has preset %s in force at version %d, which is %s", address, c.Preset(), c.Version(), h.Preset())
	}
	if isCorrupt(h) {
		ck.addViolation("P3", "%s applied version %d, which has a malformed part", address, c.Version())
	}
	ck.checkDefinitions(address, c, h)
}

// checkDefinitions checks that a configuration matches its version completely for the services the node subscribes to.
func (ck *checker) checkDefinitions(address string, c config.Config, h head.Head) {
	for name, s := range c.Services() {
		digest, err := s.Digest()
		if err != nil || digest != h.DefinitionDigests()[name] {
			ck.addViolation("P3", "%s has a definition of %s in version %d that does not belong to it", address, name, c.Version())
		}
		if c.Shares()[name] != h.Shares()[name] {
			ck.addViolation("P3", "%s has a share of %s in version %d that does not belong to it", address, name, c.Version())
		}
	}
	for _, name := range ck.requiredServices(address, c, h) {
		if _, ok := c.Services()[name]; !ok {
			ck.addViolation("P3", "%s has version %d in force without %s", address, c.Version(), name)
		}
	}
}

// requiredServices returns the node's own service and its dependencies, if the version contains that service.
func (ck *checker) requiredServices(address string, c config.Config, h head.Head) []string {
	own := ck.fleet.sim.Config(address).Service
	if _, ok := h.DefinitionDigests()[own]; !ok {
		return nil
	}
	return append([]string{own}, c.Services()[own].Dependencies()...)
}

// checkRoutes checks that every route of a snapshot leads to a service that the snapshot contains.
func (ck *checker) checkRoutes(address string, s *snapshot.Snapshot) {
	if s == nil {
		return
	}
	none := func(string) string { return "" }
	for path, name := range serviceByPath {
		_, found, ok := s.Routes().Match("", path, "GET", none)
		if ok && (s.Pool(found.Name()) == nil || found.Name() != name) {
			ck.addViolation("P2", "%s routes %s to %s, which version %d lacks", address, path, found.Name(), s.Version())
		}
	}
}

// checkCall checks the endpoint that the balancer picked for a call.
func (ck *checker) checkCall(address string, s *snapshot.Snapshot, m *snapshot.Member) {
	e := m.Endpoint()
	target := ck.fleet.nodes[m.Address()]
	sameIncarnation := e.Incarnation() == ck.fleet.sim.Config(m.Address()).Incarnation
	if target.upstream == endpoint.Leaving && sameIncarnation && ck.fleet.running(m.Address()) && ck.fleet.runningFor(address, minRunningTime) &&
		ck.overdue(target.upstreamChanged, leaveBound) {
		ck.addViolation("P8", "%s calls %s, which left %v ago", address, m.Address(), ck.fleet.sim.Now().Sub(target.upstreamChanged))
	}
	current := ck.fleet.nodes[address].config.Shares()[e.Service()]
	r, hasVerdict := ck.firstVerdicts[current.Rollout()]
	if hasVerdict && e.Version() == r.verdict.Version() && e.Service() == r.verdict.Service() &&
		ck.fleet.runningFor(address, minRunningTime) && ck.overdue(r.at, verdictBound) {
		ck.addViolation("P4", "%s calls version %s %v after the verdict", address, e.Version(), ck.fleet.sim.Now().Sub(r.at))
	}
}

// checkFinal checks versions, subscriptions and endpoints of all nodes after recovery.
func (ck *checker) checkFinal() {
	ck.observeStore()
	want := ck.settledVersion()
	for _, address := range ck.fleet.sim.Nodes() {
		n := ck.fleet.nodes[address]
		s := n.publisher.Snapshot()
		if s == nil {
			ck.addViolation("P10", "%s has no configuration", address)
			continue
		}
		if s.Version() < want {
			ck.addViolation("P10", "%s is on version %d at the end, want %d", address, s.Version(), want)
		}
		ck.checkSubscription(address, n, s)
		ck.checkEndpoints(address, s)
	}
}

// settledVersion returns the latest well-formed version that was accepted more than activationBound ago.
func (ck *checker) settledVersion() uint64 {
	v := ck.head.Version()
	for v > 0 && (isCorrupt(ck.heads[v]) || ck.fleet.sim.Now().Sub(ck.acceptedAt[v]) <= activationBound) {
		v--
	}
	return v
}

// checkSubscription checks that the snapshot contains all services to which the node subscribes.
func (ck *checker) checkSubscription(address string, n *node, s *snapshot.Snapshot) {
	for name := range n.neededServices {
		if _, ok := ck.heads[s.Version()].DefinitionDigests()[name]; ok && s.Pool(name) == nil {
			ck.addViolation("P10", "%s has no definition of %s, which it demanded", address, name)
		}
	}
	for name := range n.config.Services() {
		if s.Pool(name) == nil {
			ck.addViolation("P10", "%s was handed %s and calls do not see it", address, name)
		}
	}
}

// checkEndpoints checks that the snapshot's endpoints are the ready upstreams of running nodes.
func (ck *checker) checkEndpoints(address string, s *snapshot.Snapshot) {
	for name, o := range s.Pools() {
		versions := []*snapshot.VersionEndpoints{o.Stable()}
		if o.Candidate() != nil {
			versions = append(versions, o.Candidate())
		}
		for _, v := range versions {
			got, want := ck.members(v), ck.upstreams(name, v.Name())
			if !slices.Equal(got, want) {
				ck.addViolation("sets", "%s sees %s %s at [%s], want [%s]", address, name, v.Name(), strings.Join(got, " "), strings.Join(want, " "))
			}
		}
	}
}

func (ck *checker) members(v *snapshot.VersionEndpoints) []string {
	var as []string
	for _, m := range v.Members() {
		as = append(as, fmt.Sprintf("%s/%s/%d", m.Address(), m.Endpoint().State(), m.Endpoint().Incarnation()))
	}
	slices.Sort(as)
	return as
}

func (ck *checker) upstreams(service, version string) []string {
	var as []string
	for _, a := range ck.fleet.sim.Nodes() {
		c := ck.fleet.sim.Config(a)
		if c.Service == service && c.Version == version && ck.fleet.running(a) && ck.fleet.nodes[a].upstream == endpoint.Ready {
			as = append(as, fmt.Sprintf("%s/%s/%d", a, endpoint.Ready, c.Incarnation))
		}
	}
	slices.Sort(as)
	return as
}
