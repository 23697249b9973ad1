package roller

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/rollout"
)

const (
	listID  = prefix + "list"
	watchID = prefix + "watch"
	// listPause is the least time between two lists; half as much again is drawn at random, so that gateways do not
	// return together after an outage.
	listPause = time.Second
)

// standing is a rollout as it was last seen in the store.
type standing struct {
	object  object.Object
	rollout rollout.Rollout
}

// watcher follows the rollouts in the store, at a gateway and at a holder.
type watcher struct {
	view     *view
	rollouts map[string]standing // by service
	busy     bool                // a list or a watch is under way
	synced   bool                // rollouts holds what stands in the store, up to the delay of the watch
	next     time.Time
}

func newWatcher(v *view) *watcher { return &watcher{view: v, rollouts: map[string]standing{}} }

// step takes an event; wanted says whether this node has a reason to watch. A node that becomes gateway lists at once.
func (w *watcher) step(now time.Time, e event.Event, wanted bool) []effect.Effect {
	switch {
	case e.Kind() == event.StoreReplied && e.ID() == listID:
		return w.listed(now, e)
	case e.Kind() == event.Watched && e.ID() == watchID:
		w.changed(now, e)
	case e.Kind() == event.Tick && wanted && !w.busy && !now.Before(w.next):
		w.busy = true
		return []effect.Effect{effect.NewStoreRequest(effect.List, listID, object.New(rollout.Plural, "", "", nil))}
	case e.Kind() == event.Tick && !wanted && w.busy:
		w.busy, w.synced = false, false
		w.rollouts = map[string]standing{}
		return []effect.Effect{effect.NewUnwatch(watchID)}
	}
	return nil
}

func (w *watcher) listed(now time.Time, e event.Event) []effect.Effect {
	if e.Err() != nil {
		w.pause(now)
		return nil
	}
	if !w.busy {
		return nil // no longer wanted
	}
	w.rollouts = map[string]standing{}
	for _, o := range e.Objects() {
		w.put(o)
	}
	w.synced = true
	return []effect.Effect{effect.NewStoreRequest(effect.Watch, watchID, object.New(rollout.Plural, "", e.Revision(), nil))}
}

func (w *watcher) changed(now time.Time, e event.Event) {
	if e.Err() != nil {
		w.pause(now)
		return
	}
	if e.Change() == event.Deleted {
		delete(w.rollouts, e.Object().Name())
		return
	}
	w.put(e.Object())
}

func (w *watcher) pause(now time.Time) {
	w.busy, w.synced = false, false
	w.next = now.Add(listPause + time.Duration(w.view.node.Rand.Int64N(int64(listPause/2))))
}

// put keeps an object; one that cannot be read is left to the operator who wrote it.
func (w *watcher) put(o object.Object) {
	r, err := rollout.Decode(o)
	if err != nil {
		delete(w.rollouts, o.Name())
		return
	}
	w.rollouts[o.Name()] = standing{object: o, rollout: r}
}
