package relayer

import (
	"cmp"
	"slices"
	"time"
)

// leaseTimeout is how long a holder counts as live after its last message; it equals the lease's duration.
const leaseTimeout = leaseDuration

type leaseKey struct {
	centre string
	index  int
}

func compareLeaseKeys(a, b leaseKey) int {
	return cmp.Or(cmp.Compare(a.centre, b.centre), cmp.Compare(a.index, b.index))
}

type knownLease struct {
	leaseKey
	region     string
	holder     string
	epoch      uint64
	renewed    int64
	heardAt    time.Time
	unlinkedAt time.Time // when the link to the holder last closed
}

func (h *knownLease) live(now time.Time) bool {
	return h.holder != "" && now.Sub(h.heardAt) < leaseTimeout && h.heardAt.After(h.unlinkedAt)
}

// leaseTable is a node's view of all relay leases, merged from messages and store reads.
type leaseTable struct {
	leases        map[leaseKey]*knownLease
	sorted        []*knownLease // by leaseKey
	holderChanges int           // number of changes of holders and epochs
}

func newLeaseTable() *leaseTable { return &leaseTable{leases: map[leaseKey]*knownLease{}} }

// merge records that the lease's holder was heard at the given time. Older epochs and older messages are ignored.
func (t *leaseTable) merge(info leaseInfo, heard time.Time) {
	p := leaseKey{info.DataCentre, info.Index}
	h := t.leases[p]
	if h == nil {
		h = &knownLease{leaseKey: p}
		t.leases[p] = h
		t.sorted = append(t.sorted, h)
		slices.SortFunc(t.sorted, func(a, b *knownLease) int { return compareLeaseKeys(a.leaseKey, b.leaseKey) })
	}
	if info.Epoch < h.epoch || (info.Epoch == h.epoch && !heard.After(h.heardAt)) {
		return
	}
	if info.Epoch != h.epoch || info.Holder != h.holder {
		t.holderChanges++
		h.unlinkedAt = time.Time{}
	}
	h.region, h.holder, h.epoch, h.heardAt = info.Region, info.Holder, info.Epoch, heard
	h.renewed = max(h.renewed, info.Renewed)
}

// markHeard records a message from the holder with the address and its last renewal, and returns its lease, or nil.
func (t *leaseTable) markHeard(address string, renewed int64, now time.Time) *knownLease {
	for _, h := range t.sorted {
		if h.holder == address {
			h.heardAt = now
			h.renewed = max(h.renewed, renewed)
			return h
		}
	}
	return nil
}

// unlink records that the link to the address has closed.
func (t *leaseTable) unlink(address string, now time.Time) {
	for _, h := range t.sorted {
		if h.holder == address {
			h.unlinkedAt = now
		}
	}
}

func (t *leaseTable) lease(centre string, index int) *knownLease {
	return t.leases[leaseKey{centre, index}]
}

// selectLive returns the matching leases with a live holder, by leaseKey.
func (t *leaseTable) selectLive(now time.Time, match func(*knownLease) bool) []*knownLease {
	var leases []*knownLease
	for _, h := range t.sorted {
		if h.live(now) && match(h) {
			leases = append(leases, h)
		}
	}
	return leases
}

// selectKnown returns the matching leases whose holder's link has not closed since its last message, however old that
// is.
func (t *leaseTable) selectKnown(match func(*knownLease) bool) []*knownLease {
	var leases []*knownLease
	for _, h := range t.sorted {
		if h.holder != "" && h.heardAt.After(h.unlinkedAt) && match(h) {
			leases = append(leases, h)
		}
	}
	return leases
}

// gateway returns the region's first lease by leaseKey with a live holder, which is the gateway, or nil.
func (t *leaseTable) gateway(now time.Time, region string) *knownLease {
	for _, h := range t.sorted {
		if h.region == region && h.live(now) {
			return h
		}
	}
	return nil
}

// leaseInfos returns the matching leases in the form for messages.
func (t *leaseTable) leaseInfos(now time.Time, match func(*knownLease) bool) []leaseInfo {
	var infos []leaseInfo
	for _, h := range t.sorted {
		if match(h) {
			infos = append(infos, leaseInfo{
				DataCentre: h.centre, Region: h.region, Index: h.index, Holder: h.holder, Epoch: h.epoch,
				Renewed: h.renewed, Age: now.Sub(h.heardAt).Milliseconds(),
			})
		}
	}
	return infos
}
