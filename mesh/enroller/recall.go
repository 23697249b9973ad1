package enroller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/withdrawal"
)

const (
	// maxAnnouncementDelay is the time for which announcements of before the start of this node may still arrive.
	maxAnnouncementDelay = 30 * time.Second
	// maxWithdrawals is the number of withdrawals that are kept for the next process of this node, the latest ones.
	maxWithdrawals = 16
)

// process identifies one process of an upstream.
type process struct {
	instance    string
	startMillis int64
}

// unconfirmed is the last announcement that was not confirmed of an instance's process.
type unconfirmed struct {
	startMillis int64
	sequence    int64
}

// PredatesNode reports whether the announcement is of an unknown instance that has started before this node and may have been sent
// before that, too. An earlier process of this node may have been told that it leaves.
func (e *Enroller) PredatesNode(a Announcement) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.predatesNode(a)
}

func (e *Enroller) predatesNode(a Announcement) bool {
	_, known := e.instances[a.Instance]
	return !known && !a.Leaving && a.StartMillis <= e.startedAt.UnixMilli() && e.now().Sub(e.startedAt) <= maxAnnouncementDelay
}

// Confirm reports whether the announcement may be applied. One that predates the node needs another one of the same process before
// it, unless another node has vouched for that process: its sender may have left since, or have ended. An upstream that is
// refused announces itself again at once.
func (e *Enroller) Confirm(a Announcement) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.predatesNode(a) || e.vouched.instance == a.Instance && e.vouched.startMillis == a.StartMillis {
		return true
	}
	u, seen := e.unconfirmed[a.Instance]
	switch {
	case seen && a.StartMillis == u.startMillis && a.Sequence > u.sequence:
		delete(e.unconfirmed, a.Instance)
		return true
	case !seen && len(e.unconfirmed) < maxInstances, seen && a.StartMillis > u.startMillis:
		e.unconfirmed[a.Instance] = unconfirmed{startMillis: a.StartMillis, sequence: a.Sequence}
	}
	return false
}

// Vouch records that an earlier process of this node had the upstream in use until its end, as another node says. A withdrawal
// that only that process knew is in the store.
func (e *Enroller) Vouch(instance string, startMillis int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if startMillis >= e.vouched.startMillis {
		e.vouched = process{instance: instance, startMillis: startMillis}
	}
}

// Recall adds what earlier processes of this node were told.
func (e *Enroller) Recall(ws []withdrawal.Withdrawal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, w := range ws {
		r := e.instances[w.Instance()]
		r.startMillis = max(r.startMillis, w.StartMillis())
		e.remember(w.Instance(), r.leftUntil(w.StartMillis(), e.now()))
		if c := e.current.Load(); c != nil && c.announcement.Instance == w.Instance() && c.announcement.StartMillis <= w.StartMillis() {
			e.publishWithdrawn(c)
		}
	}
}

// Withdrawals returns the latest withdrawals by instance, for the next process of this node.
func (e *Enroller) Withdrawals() []withdrawal.Withdrawal {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	left := slices.DeleteFunc(slices.Collect(maps.Keys(e.instances)), func(i string) bool { return !e.instances[i].left })
	slices.SortFunc(left, func(x, y string) int {
		return cmp.Or(e.instances[y].leftAt.Compare(e.instances[x].leftAt), cmp.Compare(x, y))
	})
	left = left[:min(len(left), maxWithdrawals)]
	slices.Sort(left)
	var ws []withdrawal.Withdrawal
	for _, i := range left {
		ws = append(ws, withdrawal.New(i, e.instances[i].leftMillis))
	}
	return ws
}
