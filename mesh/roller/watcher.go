package roller

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/rollout"
)

const (
	listID  = requestIDPrefix + "list"
	watchID = requestIDPrefix + "watch"
	// minListInterval is the minimum delay before the next list after a failure. Up to half of it is added at random, so
	// that gateways do not all list at once after an outage.
	minListInterval = time.Second
)

// storedRollout is a rollout as it was last seen in the store.
type storedRollout struct {
	object  object.Object
	rollout rollout.Rollout
}

// watcher follows the rollouts in the store, at gateways and at lease holders.
type watcher struct {
	view       *view
	rollouts   map[string]storedRollout // by service
	following  bool                     // a list or a watch is in progress
	synced     bool                     // rollouts matches the store, apart from the delay of the watch
	nextListAt time.Time
}

func newWatcher(v *view) *watcher { return &watcher{view: v, rollouts: map[string]storedRollout{}} }

// step handles an event; wanted reports whether this node must watch. A node that becomes a gateway lists at once.
func (w *watcher) step(now time.Time, e event.Event, wanted bool) []effect.Effect {
	switch {
	case e.Kind() == event.StoreReplied && e.ID() == listID:
		return w.handleList(now, e)
	case e.Kind() == event.Watched && e.ID() == watchID:
		w.handleChange(now, e)
	case e.Kind() == event.Tick && wanted && !w.following && !now.Before(w.nextListAt):
		w.following = true
		return []effect.Effect{effect.NewStoreRequest(effect.List, listID, object.New(rollout.Plural, "", "", nil))}
	case e.Kind() == event.Tick && !wanted && w.following:
		w.following, w.synced = false, false
		w.rollouts = map[string]storedRollout{}
		return []effect.Effect{effect.NewUnwatch(watchID)}
	}
	return nil
}

func (w *watcher) handleList(now time.Time, e event.Event) []effect.Effect {
	if e.Err() != nil {
		w.retryLater(now)
		return nil
	}
	if !w.following {
		return nil // no longer wanted
	}
	w.rollouts = map[string]storedRollout{}
	for _, o := range e.Objects() {
		w.put(o)
	}
	w.synced = true
	return []effect.Effect{
		effect.NewStoreRequest(effect.Watch, watchID, object.New(rollout.Plural, "", e.Revision(), nil)),
	}
}

func (w *watcher) handleChange(now time.Time, e event.Event) {
	if e.Err() != nil {
		w.retryLater(now)
		return
	}
	if e.Change() == event.Deleted {
		delete(w.rollouts, e.Object().Name())
		return
	}
	w.put(e.Object())
}

func (w *watcher) retryLater(now time.Time) {
	w.following, w.synced = false, false
	w.nextListAt = now.Add(minListInterval + time.Duration(w.view.node.Rand.Int64N(int64(minListInterval/2))))
}

// put stores an object and ignores a malformed one, which the operator who wrote it must correct.
func (w *watcher) put(o object.Object) {
	r, err := rollout.Decode(o)
	if err != nil {
		delete(w.rollouts, o.Name())
		return
	}
	w.rollouts[o.Name()] = storedRollout{object: o, rollout: r}
}
