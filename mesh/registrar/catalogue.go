package registrar

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/notice"
)

// departureRetention is how long a departure is kept. It has to outlast a change of owner and a wait for the store.
const departureRetention = 10 * time.Minute

// setKey identifies one set.
type setKey struct{ dataCentre, service string }

type departed struct {
	notice    notice.Departure
	at        time.Time
	broadcast bool // sent in a message of its own, before the changed set
}

// catalogue holds the newest known version of each set, their digests for comparison with other nodes, and departures.
type catalogue struct {
	sets       map[setKey]group.Group
	services   map[string][]string // data centres with a set, by service
	byCentre   map[string]uint64
	byService  map[string]uint64
	departures map[string]departed // by address
}

func newCatalogue() *catalogue {
	return &catalogue{
		sets: map[setKey]group.Group{}, services: map[string][]string{},
		byCentre: map[string]uint64{}, byService: map[string]uint64{}, departures: map[string]departed{},
	}
}

func keyOf(g group.Group) setKey { return setKey{dataCentre: g.DataCentre(), service: g.Service()} }

// versionDigest returns the digest of a set's version.
func versionDigest(g group.Group) uint64 {
	var version [16]byte
	binary.BigEndian.PutUint64(version[:8], g.Epoch())
	binary.BigEndian.PutUint64(version[8:], g.Sequence())
	d := xxhash.New()
	_, _ = d.WriteString(g.DataCentre())
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(g.Service())
	_, _ = d.Write(version[:])
	return d.Sum64()
}

// put stores a set if it replaces the held one, and reports whether it did.
func (c *catalogue) put(g group.Group) bool {
	k := keyOf(g)
	old, known := c.sets[k]
	if known && !g.Replaces(old) {
		return false
	}
	if known {
		c.toggleSum(old)
	} else {
		c.services[k.service] = append(c.services[k.service], k.dataCentre)
		slices.Sort(c.services[k.service])
	}
	c.sets[k] = g
	c.toggleSum(g)
	return true
}

// toggleSum adds the digest of a set's version to the sums, or removes it when called again (XOR).
func (c *catalogue) toggleSum(g group.Group) {
	sum := versionDigest(g)
	c.byCentre[g.DataCentre()] ^= sum
	c.byService[g.Service()] ^= sum
}

// retainServices removes all sets of the services for which keep is false.
func (c *catalogue) retainServices(keep func(service string) bool) {
	for s, centres := range c.services {
		if keep(s) {
			continue
		}
		for _, dc := range centres {
			k := setKey{dataCentre: dc, service: s}
			c.toggleSum(c.sets[k])
			delete(c.sets, k)
		}
		delete(c.services, s)
		delete(c.byService, s)
	}
}

// sum returns the digest of all sets of a subscription.
func (c *catalogue) sum(i *notice.Subscription) uint64 {
	var total uint64
	if i.All() {
		for _, s := range c.byCentre {
			total ^= s
		}
		return total
	}
	for _, s := range i.Services() {
		total ^= c.byService[s]
	}
	return total
}

// list returns the sets for which want is true, ordered by data centre and service.
func (c *catalogue) list(want func(group.Group) bool) []group.Group {
	var gs []group.Group
	for _, g := range c.sets {
		if want(g) {
			gs = append(gs, g)
		}
	}
	slices.SortFunc(gs, func(a, b group.Group) int {
		return cmp.Or(cmp.Compare(a.DataCentre(), b.DataCentre()), cmp.Compare(a.Service(), b.Service()))
	})
	return gs
}

// recordDeparture stores a departure and reports whether it was new.
func (c *catalogue) recordDeparture(now time.Time, d notice.Departure) bool {
	old, known := c.departures[d.Address()]
	if known && old.notice.Incarnation() >= d.Incarnation() {
		return false
	}
	c.departures[d.Address()] = departed{notice: d, at: now}
	return true
}

// markBroadcast records that a departure is sent in a message of its own, and reports whether that was new.
func (c *catalogue) markBroadcast(d notice.Departure) bool {
	known, ok := c.departures[d.Address()]
	if !ok || known.broadcast || known.notice.Incarnation() != d.Incarnation() {
		return false
	}
	known.broadcast = true
	c.departures[d.Address()] = known
	return true
}

// hasDeparted reports whether that incarnation of the address, or a later one, has departed.
func (c *catalogue) hasDeparted(address string, incarnation uint64) bool {
	d, known := c.departures[address]
	return known && d.notice.Incarnation() >= incarnation
}

// expireDepartures removes departures older than departureRetention.
func (c *catalogue) expireDepartures(now time.Time) {
	for a, d := range c.departures {
		if now.Sub(d.at) > departureRetention {
			delete(c.departures, a)
		}
	}
}

// withDepartures returns a set in which departed endpoints are leaving, for use by the data path.
func (c *catalogue) withDepartures(g group.Group) group.Group {
	var changed []endpoint.Endpoint
	for i, e := range g.Endpoints() {
		if e.State() == endpoint.Leaving || !c.hasDeparted(e.Address(), e.Incarnation()) {
			continue
		}
		if changed == nil {
			changed = slices.Clone(g.Endpoints())
		}
		changed[i] = e.WithState(endpoint.Leaving)
	}
	if changed == nil {
		return g
	}
	return group.New(g.DataCentre(), g.Service(), g.Epoch(), g.Sequence(), changed)
}

// highestEpoch returns the highest epoch of a data centre's sets.
func (c *catalogue) highestEpoch(dataCentre string) uint64 {
	var epoch uint64
	for k, g := range c.sets {
		if k.dataCentre == dataCentre {
			epoch = max(epoch, g.Epoch())
		}
	}
	return epoch
}
