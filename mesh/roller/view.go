package roller

import (
	"slices"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/share"
)

// view is what all concerns of one node know of its surroundings.
type view struct {
	node   machine.Config
	roster roster.Roster
	shares map[string]share.Share
	peers  map[string]bool
	groups map[string]map[string]group.Group // by service, then data centre
}

func newView(c machine.Config) *view {
	return &view{
		node: c, roster: roster.New(roster.Fields{LeaseIndex: -1}), peers: map[string]bool{},
		groups: map[string]map[string]group.Group{},
	}
}

func (v *view) learn(e event.Event) {
	switch e.Kind() {
	case event.Linked:
		v.peers[e.Peer()] = true
	case event.Unlinked:
		delete(v.peers, e.Peer())
	case event.Local:
		v.local(e.Value())
	}
}

func (v *view) local(value any) {
	switch t := value.(type) {
	case roster.Roster:
		v.roster = t
	case config.Config:
		v.shares = t.Shares()
	case group.Group:
		byCentre := v.groups[t.Service()]
		if byCentre == nil {
			byCentre = map[string]group.Group{}
			v.groups[t.Service()] = byCentre
		}
		if t.Replaces(byCentre[t.DataCentre()]) {
			byCentre[t.DataCentre()] = t
		}
	}
}

func (v *view) relay() bool { return v.roster.LeaseIndex() >= 0 }

// underWay returns the share of the service's rollout, if there is one that has not ended.
func (v *view) underWay(service string) (share.Share, bool) {
	s := v.shares[service]
	return s, s.Candidate() != ""
}

// running reports whether the rollout is the one under way for the service.
func (v *view) running(service, rollout string) bool {
	s, ok := v.underWay(service)
	return ok && s.Rollout() == rollout
}

// relays returns the other relays that this node knows, in a fixed order.
func (v *view) relays() []string {
	all := slices.Concat(v.roster.RegionRelays(), v.roster.RemoteGateways(), v.roster.Relays())
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == v.node.Node })
}

// linked returns all linked peers in a fixed order.
func (v *view) linked() []string {
	all := make([]string, 0, len(v.peers))
	for p := range v.peers {
		all = append(all, p)
	}
	slices.Sort(all)
	return all
}

// send returns the sending of a message; one to the node itself is raised.
func (v *view) send(peer, kind string, body any) effect.Effect {
	m := message.New(kind, body)
	if peer == v.node.Node {
		return effect.NewRaise(event.NewReceived(peer, m))
	}
	return effect.NewSend(peer, m)
}

func (v *view) sendAll(peers []string, kind string, body any) []effect.Effect {
	fs := make([]effect.Effect, 0, len(peers))
	for _, p := range peers {
		fs = append(fs, v.send(p, kind, body))
	}
	return fs
}

// prefix starts the identifier of every store request and watch of this machine.
const prefix = "roller:"
