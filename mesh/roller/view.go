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

// view holds the state that all components of this node's Roller share: roster, shares, peers and endpoints.
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

func (v *view) update(e event.Event) {
	switch e.Kind() {
	case event.Linked:
		v.peers[e.Peer()] = true
	case event.Unlinked:
		delete(v.peers, e.Peer())
	case event.Local:
		v.applyLocal(e.Value())
	}
}

func (v *view) applyLocal(value any) {
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

func (v *view) isRelay() bool { return v.roster.LeaseIndex() >= 0 }

// activeShare returns the service's share and reports whether a rollout of the service is active.
func (v *view) activeShare(service string) (share.Share, bool) {
	s := v.shares[service]
	return s, s.Candidate() != ""
}

// isActive reports whether the rollout is the service's active one.
func (v *view) isActive(service, rollout string) bool {
	s, ok := v.activeShare(service)
	return ok && s.Rollout() == rollout
}

// otherRelays returns the known relays except this node, sorted.
func (v *view) otherRelays() []string {
	all := slices.Concat(v.roster.RegionRelays(), v.roster.RemoteGateways(), v.roster.Relays())
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == v.node.Node })
}

// linkedPeers returns all linked peers, sorted.
func (v *view) linkedPeers() []string {
	all := make([]string, 0, len(v.peers))
	for p := range v.peers {
		all = append(all, p)
	}
	slices.Sort(all)
	return all
}

// send returns the effect that sends a message; a message to this node is raised as a received event.
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

// requestIDPrefix is the prefix of the identifiers of this machine's store requests and watches.
const requestIDPrefix = "roller:"
