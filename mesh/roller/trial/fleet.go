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

// relayLoss is how long a dead or paused relay keeps its seat.
const relayLoss = 3 * time.Second

// deletion is the local event on which a node deletes the rollout object, as an operator's tool does.
const deletion = "trial:delete"

// publisher hands each configuration to the data path, as the distributing machine does.
type publisher struct{}

// Step implements machine.Machine.
func (publisher) Step(_ time.Time, e event.Event) []effect.Effect {
	if c, ok := e.Value().(config.Config); ok {
		return []effect.Effect{effect.NewPublish(c)}
	}
	if e.Kind() == event.Local && e.ID() == deletion {
		return []effect.Effect{effect.NewStoreRequest(effect.Delete, deletion, object.New(rollout.Plural, Service, "", nil))}
	}
	return nil
}

// fleet stands in for relays and membership.
type fleet struct {
	trial   *Trial
	centres []string
	members map[string][]string // nodes by data centre
	absent  map[string]time.Time
	frozen  map[string]bool
	rosters map[string]roster.Roster
	epochs  map[string]uint64
	seats   map[string][]string
	changed bool   // the seats, since the last rosters
	head    string // revision last distributed
	version map[string]uint64
	appear  bool
	woke    map[string]time.Time
}

func newFleet(t *Trial) *fleet {
	return &fleet{
		trial: t, members: map[string][]string{}, absent: map[string]time.Time{}, frozen: map[string]bool{},
		rosters: map[string]roster.Roster{}, epochs: map[string]uint64{}, seats: map[string][]string{},
		version: map[string]uint64{}, woke: map[string]time.Time{},
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
	t.fleet.frozen[node] = true
	t.sim.Pause(node)
}

// Resume lets a paused node go on.
func (t *Trial) Resume(node string) {
	delete(t.fleet.frozen, node)
	t.fleet.woke[node] = t.sim.Now()
	t.sim.Resume(node)
}

func (f *fleet) runs(node string) bool { return f.trial.sim.Alive(node) && !f.frozen[node] }

func (f *fleet) update() {
	f.seat()
	f.roster()
	f.distribute()
	if !f.appear && !f.trial.asked.IsZero() && f.trial.sim.Now().Sub(f.trial.asked) >= f.trial.AnnounceAfter {
		f.appear = true
		f.announce(f.trial.sim.Now())
	}
}

// seat keeps two relays in each data centre.
func (f *fleet) seat() {
	now := f.trial.sim.Now()
	for _, c := range f.centres {
		for _, n := range f.members[c] {
			if f.runs(n) {
				delete(f.absent, n)
			} else if f.absent[n].IsZero() {
				f.absent[n] = now
			}
		}
		seats := f.seats[c]
		kept := seats[:0:0]
		for _, n := range seats {
			if f.present(n) {
				kept = append(kept, n)
			}
		}
		for _, n := range f.members[c] {
			if len(kept) < 2 && f.runs(n) && !slices.Contains(kept, n) {
				kept = append(kept, n)
				f.epochs[n]++
			}
		}
		if !slices.Equal(f.seats[c], kept) {
			f.seats[c] = kept
			f.changed = true
		}
	}
}

func (f *fleet) present(n string) bool {
	gone := f.absent[n]
	return gone.IsZero() || f.trial.sim.Now().Sub(gone) < relayLoss
}

// gateway returns the lowest relay of a region.
func (f *fleet) gateway(region string) string {
	for _, c := range f.centres {
		if f.trial.sim.Config(f.members[c][0]).Region == region && len(f.seats[c]) > 0 {
			return f.seats[c][0]
		}
	}
	return ""
}

func (f *fleet) roster() {
	if !f.changed {
		return
	}
	f.changed = false
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
	fields := roster.Fields{LeaseIndex: -1, Epoch: f.epochs[n], Relays: f.seats[centre], Gateway: f.gateway(region) == n}
	for i, s := range f.seats[centre] {
		if s == n {
			fields.LeaseIndex = i
		}
	}
	for _, c := range f.centres {
		if f.trial.sim.Config(f.members[c][0]).Region != region {
			continue
		}
		for _, s := range f.seats[c] {
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

// distribute gives a new head to each node within 20 to 400 ms.
func (f *fleet) distribute() {
	o := f.trial.sim.Store().Object(head.Plural, head.Name)
	if o.Revision() == f.head {
		return
	}
	f.head = o.Revision()
	h, err := head.Decode(o)
	if err != nil {
		panic(err)
	}
	c := config.New(h.Version(), h.Preset(), nil, h.Shares())
	for _, n := range f.trial.sim.Nodes() {
		delay := 20*time.Millisecond + time.Duration(f.trial.sim.Rand().Int64N(int64(380*time.Millisecond)))
		f.trial.sim.After(delay, func() {
			if f.version[n] < c.Version() {
				f.version[n] = c.Version()
				f.trial.sim.Inject(n, event.NewLocal(event.Config, c))
			}
		})
	}
}

// announce sends the endpoint sets; the new version is in them once joined is set.
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
