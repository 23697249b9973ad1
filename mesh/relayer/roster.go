package relayer

import (
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/roster"
)

// updateRoster raises an event with the roster if it changed.
func (r *relayer) updateRoster() {
	fields := roster.Fields{LeaseIndex: -1}
	own := r.leaseTable.selectLive(r.now, func(h *knownLease) bool { return h.centre == r.config.DataCentre })
	for _, h := range own {
		if h.holder != r.config.Node || r.leaseIndex >= 0 {
			fields.Relays = append(fields.Relays, h.holder)
		}
	}
	if r.leaseIndex >= 0 {
		fields.LeaseIndex, fields.Epoch = r.leaseIndex, r.lease().Record().Epoch()
		fields.Owner = r.holdsLease() && len(own) > 0 && own[0].holder == r.config.Node
		gateway := r.leaseTable.gateway(r.now, r.config.Region)
		fields.Gateway = gateway != nil && gateway.holder == r.config.Node
		fields.RegionRelays = addresses(r.regionPeers())
		fields.RemoteGateways = addresses(r.remoteGateways())
	}
	next := roster.New(fields)
	if next.Equal(r.roster) {
		return
	}
	r.roster = next
	r.emit(effect.NewRaise(event.NewLocal(event.Roster, next)))
}

func addresses(leases []*knownLease) []string {
	var holders []string
	for _, h := range leases {
		holders = append(holders, h.holder)
	}
	return holders
}

// regionPeers returns the other live relays of this node's region.
func (r *relayer) regionPeers() []*knownLease {
	return r.leaseTable.selectLive(r.now, func(h *knownLease) bool {
		return h.region == r.config.Region && h.holder != r.config.Node
	})
}

// remoteGateways returns the live gateways of the other regions.
func (r *relayer) remoteGateways() []*knownLease {
	seen := map[string]bool{r.config.Region: true}
	return r.leaseTable.selectLive(r.now, func(h *knownLease) bool {
		if seen[h.region] {
			return false
		}
		seen[h.region] = true
		return true
	})
}

// lostGateways returns the last known holder of one lease in each other region that has no live relay, so that contact
// returns with the first message that arrives. It picks at random because any of the holders may have died meanwhile.
func (r *relayer) lostGateways() []*knownLease {
	live := map[string]bool{r.config.Region: true}
	for _, h := range r.remoteGateways() {
		live[h.region] = true
	}
	known := map[string][]*knownLease{}
	var order []string
	for _, h := range r.leaseTable.sorted {
		if h.holder == "" || live[h.region] {
			continue
		}
		if known[h.region] == nil {
			order = append(order, h.region)
		}
		known[h.region] = append(known[h.region], h)
	}
	var leases []*knownLease
	for _, region := range order {
		leases = append(leases, known[region][r.config.Rand.IntN(len(known[region]))])
	}
	return leases
}
