package relayer

import (
	"cmp"
	"slices"
	"time"
)

// seatTimeout is how long a holder is believed after it was last heard; it equals the lease's duration.
const seatTimeout = leaseDuration

type place struct {
	centre string
	index  int
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.centre, b.centre), cmp.Compare(a.index, b.index))
}

type holding struct {
	place
	region  string
	holder  string
	epoch   uint64
	renewed int64
	heard   time.Time
	down    time.Time // when the link to the holder closed
}

func (h *holding) live(now time.Time) bool {
	return h.holder != "" && now.Sub(h.heard) < seatTimeout && h.heard.After(h.down)
}

// table is a node's view of all relay leases, merged from messages and store reads.
type table struct {
	holdings map[place]*holding
	order    []*holding // by place
	changes  int        // number of changes of a holder or an epoch
}

func newTable() *table { return &table{holdings: map[place]*holding{}} }

// merge takes a statement that the seat's holder was heard at the given time. Older epochs and older news change
// nothing.
func (t *table) merge(s seat, heard time.Time) {
	p := place{s.DataCentre, s.Index}
	h := t.holdings[p]
	if h == nil {
		h = &holding{place: p}
		t.holdings[p] = h
		t.order = append(t.order, h)
		slices.SortFunc(t.order, func(a, b *holding) int { return comparePlaces(a.place, b.place) })
	}
	if s.Epoch < h.epoch || (s.Epoch == h.epoch && !heard.After(h.heard)) {
		return
	}
	if s.Epoch != h.epoch || s.Holder != h.holder {
		t.changes++
		h.down = time.Time{}
	}
	h.region, h.holder, h.epoch, h.heard = s.Region, s.Holder, s.Epoch, heard
	h.renewed = max(h.renewed, s.Renewed)
}

// touch notes that the holder at the address was heard and when it renewed its lease, and returns its holding, or nil.
func (t *table) touch(address string, renewed int64, now time.Time) *holding {
	for _, h := range t.order {
		if h.holder == address {
			h.heard = now
			h.renewed = max(h.renewed, renewed)
			return h
		}
	}
	return nil
}

// unlink notes that the link to the address closed.
func (t *table) unlink(address string, now time.Time) {
	for _, h := range t.order {
		if h.holder == address {
			h.down = now
		}
	}
}

func (t *table) at(centre string, index int) *holding { return t.holdings[place{centre, index}] }

// selectLive returns the live holdings that match, by place.
func (t *table) selectLive(now time.Time, match func(*holding) bool) []*holding {
	var hs []*holding
	for _, h := range t.order {
		if h.live(now) && match(h) {
			hs = append(hs, h)
		}
	}
	return hs
}

// selectKnown returns the holdings that match and whose link has not closed since their holder was last heard,
// however long ago that was.
func (t *table) selectKnown(match func(*holding) bool) []*holding {
	var hs []*holding
	for _, h := range t.order {
		if h.holder != "" && h.heard.After(h.down) && match(h) {
			hs = append(hs, h)
		}
	}
	return hs
}

// gateway returns the live holding with the lowest place in the region, or nil.
func (t *table) gateway(now time.Time, region string) *holding {
	for _, h := range t.order {
		if h.region == region && h.live(now) {
			return h
		}
	}
	return nil
}

// seats returns statements on the matching holdings.
func (t *table) seats(now time.Time, match func(*holding) bool) []seat {
	var ss []seat
	for _, h := range t.order {
		if match(h) {
			ss = append(ss, seat{
				DataCentre: h.centre, Region: h.region, Index: h.index, Holder: h.holder, Epoch: h.epoch,
				Renewed: h.renewed, Age: now.Sub(h.heard).Milliseconds(),
			})
		}
	}
	return ss
}
