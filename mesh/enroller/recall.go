package enroller

import (
	"cmp"
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/withdrawal"
)

// maxWithdrawals is the number of withdrawals that are kept for the next process of this node, the latest ones.
const maxWithdrawals = 16

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
