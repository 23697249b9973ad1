package relayer

import (
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/roster"
)

// updateRoster raises the roster if it changed.
func (r *relayer) updateRoster() {
	f := roster.Fields{LeaseIndex: -1}
	own := r.table.selectLive(r.now, func(h *holding) bool { return h.centre == r.config.DataCentre })
	for _, h := range own {
		if h.holder != r.config.Node || r.seat >= 0 {
			f.Relays = append(f.Relays, h.holder)
		}
	}
	if r.seat >= 0 {
		f.LeaseIndex, f.Epoch = r.seat, r.lease().Record().Epoch()
		f.Owner = r.held() && len(own) > 0 && own[0].holder == r.config.Node
		g := r.table.gateway(r.now, r.config.Region)
		f.Gateway = g != nil && g.holder == r.config.Node
		f.RegionRelays = addresses(r.regionPeers())
		f.RemoteGateways = addresses(r.remoteGateways())
	}
	next := roster.New(f)
	if next.Equal(r.roster) {
		return
	}
	r.roster = next
	r.emit(effect.NewRaise(event.NewLocal(event.Roster, next)))
}

func addresses(hs []*holding) []string {
	var as []string
	for _, h := range hs {
		as = append(as, h.holder)
	}
	return as
}

// regionPeers returns the other live relays of the own region.
func (r *relayer) regionPeers() []*holding {
	return r.table.selectLive(r.now, func(h *holding) bool {
		return h.region == r.config.Region && h.holder != r.config.Node
	})
}

// remoteGateways returns the gateways of the other regions.
func (r *relayer) remoteGateways() []*holding {
	seen := map[string]bool{r.config.Region: true}
	return r.table.selectLive(r.now, func(h *holding) bool {
		if seen[h.region] {
			return false
		}
		seen[h.region] = true
		return true
	})
}

// lostGateways returns one last known holder in each other region that has no live relay, drawn at random because any
// of them may have died meanwhile, so that contact returns with the first message that gets through.
func (r *relayer) lostGateways() []*holding {
	live := map[string]bool{r.config.Region: true}
	for _, h := range r.remoteGateways() {
		live[h.region] = true
	}
	known := map[string][]*holding{}
	var order []string
	for _, h := range r.table.order {
		if h.holder == "" || live[h.region] {
			continue
		}
		if known[h.region] == nil {
			order = append(order, h.region)
		}
		known[h.region] = append(known[h.region], h)
	}
	var hs []*holding
	for _, region := range order {
		hs = append(hs, known[region][r.config.Rand.IntN(len(known[region]))])
	}
	return hs
}
