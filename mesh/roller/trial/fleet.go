package trial

import (
	"fmt"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/roster"
)

// relayLossTimeout is how long a dead or paused node stays a relay.
const relayLossTimeout = 3 * time.Second

// deleteRolloutEvent identifies the local event that makes a node delete the rollout object, as an operator's tool
// does.
const deleteRolloutEvent = "trial:delete"

// publisher publishes each configuration to the data path, in place of the machine that distributes them.
type publisher struct{}

// Step implements machine.Machine.
func (publisher) Step(_ time.Time, e event.Event) []effect.Effect {
	if c, ok := e.Value().(config.Config); ok {
		return []effect.Effect{effect.NewPublish(c)}
	}
	if e.Kind() == event.Local && e.ID() == deleteRolloutEvent {
		return []effect.Effect{
			effect.NewStoreRequest(effect.Delete, deleteRolloutEvent, object.New(rollout.Plural, Service, "", nil)),
		}
	}
	return nil
}

// fleet is a fake of the membership and of the relays' distribution.
type fleet struct {
	trial          *Trial
	centres        []string
	members        map[string][]string // nodes by data centre
	absentSince    map[string]time.Time
	paused         map[string]bool
	rosters        map[string]roster.Roster
	epochs         map[string]uint64
	relays         map[string][]string
	relaysChanged  bool   // since the last rosters
	headRevision   string // last distributed revision
	configVersions map[string]uint64
	newAnnounced   bool
	resumedAt      map[string]time.Time
}

func newFleet(t *Trial) *fleet {
	return &fleet{
		trial: t, members: map[string][]string{}, absentSince: map[string]time.Time{}, paused: map[string]bool{},
		rosters: map[string]roster.Roster{}, epochs: map[string]uint64{}, relays: map[string][]string{},
		configVersions: map[string]uint64{}, resumedAt: map[string]time.Time{},
	}
}

func (f *fleet) start() {
	for i, region := range regions {
		for _, half := range []string{"a", "b"} {
			centre := region + "-" + half
			f.centres = append(f.centres, centre)
			for n := range f.trial.Nodes {
				address := fmt.Sprintf("127.0.%d.%d:70%02d", i+1, len(f.centres), n)
				f.members[centre] = append(f.members[centre], address)
				f.trial.sim.Add(machine.Config{
					Node: address, DataCentre: centre, Region: region, Service: Service, Version: From, Slots: 12,
				})
			}
		}
	}
	f.announce(time.Time{})
}

// Kill ends a node.
func (t *Trial) Kill(node string) { t.sim.Kill(node) }

// KillHolder ends the node that holds the lease, if there is one.
func (t *Trial) KillHolder() {
	if h := t.LeaseHolder(); h != "" {
		t.sim.Kill(h)
	}
}

// Pause pauses a node.
func (t *Trial) Pause(node string) {
	t.fleet.paused[node] = true
	t.sim.Pause(node)
}

// Resume resumes a paused node.
func (t *Trial) Resume(node string) {
	delete(t.fleet.paused, node)
	t.fleet.resumedAt[node] = t.sim.Now()
	t.sim.Resume(node)
}

func (f *fleet) isRunning(node string) bool { return f.trial.sim.Alive(node) && !f.paused[node] }

func (f *fleet) update() {
	f.assignRelays()
	f.sendRosters()
	f.distribute()
	if !f.newAnnounced && !f.trial.requestedAt.IsZero() &&
		f.trial.sim.Now().Sub(f.trial.requestedAt) >= f.trial.AnnounceAfter {
		f.newAnnounced = true
		f.announce(f.trial.sim.Now())
	}
}

// assignRelays replaces lost relays, so that each data centre has two.
func (f *fleet) assignRelays() {
	now := f.trial.sim.Now()
	for _, c := range f.centres {
		for _, n := range f.members[c] {
			if f.isRunning(n) {
				delete(f.absentSince, n)
			} else if f.absentSince[n].IsZero() {
				f.absentSince[n] = now
			}
		}
		relays := f.relays[c]
		kept := relays[:0:0]
		for _, n := range relays {
			if f.keepsRelay(n) {
				kept = append(kept, n)
			}
		}
		for _, n := range f.members[c] {
			if len(kept) < 2 && f.isRunning(n) && !slices.Contains(kept, n) {
				kept = append(kept, n)
				f.epochs[n]++
			}
		}
		if !slices.Equal(f.relays[c], kept) {
			f.relays[c] = kept
			f.relaysChanged = true
		}
	}
}

func (f *fleet) keepsRelay(n string) bool {
	since := f.absentSince[n]
	return since.IsZero() || f.trial.sim.Now().Sub(since) < relayLossTimeout
}

// gateway returns the gateway of a region: the first relay of its first data centre that has one.
func (f *fleet) gateway(region string) string {
	for _, c := range f.centres {
		if f.trial.sim.Config(f.members[c][0]).Region == region && len(f.relays[c]) > 0 {
			return f.relays[c][0]
		}
	}
	return ""
}

func (f *fleet) sendRosters() {
	if !f.relaysChanged {
		return
	}
	f.relaysChanged = false
	for _, c := range f.centres {
		for _, n := range f.members[c] {
			if r := f.rosterOf(n, c); !r.Equal(f.rosters[n]) {
				f.rosters[n] = r
				f.trial.sim.Inject(n, event.NewLocal(event.Roster, r))
			}
		}
	}
}

func (f *fleet) rosterOf(n, centre string) roster.Roster {
	region := f.trial.sim.Config(n).Region
	fields := roster.Fields{LeaseIndex: -1, Epoch: f.epochs[n], Relays: f.relays[centre], Gateway: f.gateway(region) == n}
	for i, s := range f.relays[centre] {
		if s == n {
			fields.LeaseIndex = i
		}
	}
	for _, c := range f.centres {
		if f.trial.sim.Config(f.members[c][0]).Region != region {
			continue
		}
		for _, s := range f.relays[c] {
			if s != n {
				fields.RegionRelays = append(fields.RegionRelays, s)
			}
		}
	}
	for _, r := range regions {
		if r != region && f.gateway(r) != "" {
			fields.RemoteGateways = append(fields.RemoteGateways, f.gateway(r))
		}
	}
	return roster.New(fields)
}

// distribute sends a new head to each node after 20 to 400 ms.
func (f *fleet) distribute() {
	o := f.trial.sim.Store().Object(head.Plural, head.Name)
	if o.Revision() == f.headRevision {
		return
	}
	f.headRevision = o.Revision()
	h, err := head.Decode(o)
	if err != nil {
		panic(err)
	}
	c := config.New(h.Version(), h.Preset(), nil, h.Shares())
	for _, n := range f.trial.sim.Nodes() {
		delay := 20*time.Millisecond + time.Duration(f.trial.sim.Rand().Int64N(int64(380*time.Millisecond)))
		f.trial.sim.After(delay, func() {
			if f.configVersions[n] < c.Version() {
				f.configVersions[n] = c.Version()
				f.trial.sim.Inject(n, event.NewLocal(event.Config, c))
			}
		})
	}
}

// announce sends the endpoint sets, which include the new version if joined is set.
func (f *fleet) announce(joined time.Time) {
	for _, c := range f.centres {
		region := f.trial.sim.Config(f.members[c][0]).Region
		var es []endpoint.Endpoint
		for i, n := range f.members[c] {
			version := From
			if !joined.IsZero() && i%2 == 1 {
				version = To
			}
			es = append(es, endpoint.New(endpoint.Fields{
				Address: n, Service: Service, Version: version, DataCentre: c, Region: region, Slots: 12,
				State: endpoint.Ready, Joined: joined,
			}))
		}
		sequence := uint64(1)
		if !joined.IsZero() {
			sequence = 2
		}
		for _, n := range f.trial.sim.Nodes() {
			f.trial.sim.Inject(n, event.NewLocal(event.Groups, group.New(c, Service, 1, sequence, es)))
		}
	}
}
