package simulator

import (
	"sort"
	"strconv"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// requestTimeout is how long the driver waits for the store.
const requestTimeout = 2 * time.Second

// Store is a fake of the platform's object API. Exported fields may be changed at any time.
type Store struct {
	Unavailable    bool          // all requests fail and watches end
	Latency        time.Duration // time to answer
	AnswerLossRate float64       // share of writes whose answer is lost after the write took effect
	Reads          int64         // requests that read, with watches opened
	Writes         int64         // requests that write

	sim     *Simulator
	counter uint64
	objects map[string]object.Object
	log     []change
	watches []*watch
}

type change struct {
	counter uint64
	kind    event.Change
	object  object.Object
}

type watch struct {
	node   *node
	life   uint64
	id     string
	plural string
	name   string
	ended  bool
	last   time.Time // arrival of the latest event, so that order is kept
}

func newStore(s *Simulator) *Store {
	return &Store{Latency: 2 * time.Millisecond, sim: s, objects: map[string]object.Object{}}
}

func key(plural, name string) string { return plural + "/" + name }

// WatchCount returns the number of watches that wait.
func (s *Store) WatchCount() int { return len(s.watches) }

// Object returns an object as it stands, or the zero Object.
func (s *Store) Object(plural, name string) object.Object { return s.objects[key(plural, name)] }

// Put writes an object at once and without condition, as an operator's tool would.
func (s *Store) Put(plural, name string, spec []byte) object.Object {
	kind := event.Modified
	if _, ok := s.objects[key(plural, name)]; !ok {
		kind = event.Added
	}
	return s.commit(kind, object.New(plural, name, "", spec))
}

// SetUnavailable starts or ends an outage; its start ends all watches.
func (s *Store) SetUnavailable(out bool) {
	s.Unavailable = out
	if !out {
		return
	}
	for _, w := range s.watches {
		w.ended = true
		s.tell(w, event.NewWatchEnded(w.id, unavailable()))
	}
	s.watches = nil
}

func unavailable() error {
	return fault.New(fault.Unavailable, "the store does not answer", "wait for the platform")
}

func (s *Store) commit(kind event.Change, o object.Object) object.Object {
	s.counter++
	stored := object.New(o.Plural(), o.Name(), strconv.FormatUint(s.counter, 10), o.Spec())
	if kind == event.Deleted {
		delete(s.objects, key(o.Plural(), o.Name()))
	} else {
		s.objects[key(o.Plural(), o.Name())] = stored
	}
	c := change{counter: s.counter, kind: kind, object: stored}
	s.log = append(s.log, c)
	for _, w := range s.watches {
		s.notify(w, c)
	}
	return stored
}

func (s *Store) notify(w *watch, c change) {
	if c.object.Plural() != w.plural || (w.name != "" && c.object.Name() != w.name) {
		return
	}
	s.tell(w, event.NewWatched(w.id, c.kind, c.object))
}

func (s *Store) tell(w *watch, e event.Event) {
	n := w.node
	if n.life != w.life || s.unreachable(n) {
		return
	}
	at := s.sim.now.Add(s.distance(n))
	if at.Before(w.last) {
		at = w.last
	}
	w.last = at
	s.count(n, e.Objects())
	s.sim.deliver(n, at.Sub(s.sim.now), e)
}

// count adds the contents of objects that pass between the store and the node to the byte counters.
func (s *Store) count(n *node, os []object.Object) {
	var size int64
	for _, o := range os {
		size += int64(len(o.Spec()))
	}
	s.sim.bytes[n.config.Node] += size
	if n.config.Region != s.sim.StoreRegion {
		s.sim.cross += size
	}
}

func (s *Store) forget(w *watch) {
	w.ended = true
	delete(w.node.watches, w.id)
	for i, o := range s.watches {
		if o == w {
			s.watches = append(s.watches[:i], s.watches[i+1:]...)
			return
		}
	}
}

func (s *Store) unreachable(n *node) bool {
	return s.sim.Partitioned != nil && s.sim.Partitioned(n.config.Region, s.sim.StoreRegion)
}

func (s *Store) distance(n *node) time.Duration {
	d := withinRegion
	if n.config.Region != s.sim.StoreRegion {
		d = acrossRegion
	}
	return d + time.Duration(s.sim.rand.Float64()*s.sim.Jitter*float64(d))
}

func (s *Store) watch(n *node, id string, o object.Object) {
	life := n.life
	s.Reads++
	if s.Unavailable || s.unreachable(n) {
		s.sim.deliver(n, requestTimeout, event.NewWatchEnded(id, unavailable()))
		return
	}
	n.opening[id] = true
	s.sim.After(s.distance(n), func() {
		// An Unwatch may have overtaken the request.
		if n.life != life || !n.opening[id] {
			return
		}
		delete(n.opening, id)
		if s.Unavailable {
			s.sim.deliver(n, s.distance(n), event.NewWatchEnded(id, unavailable()))
			return
		}
		w := &watch{node: n, life: life, id: id, plural: o.Plural(), name: o.Name()}
		if old := n.watches[id]; old != nil {
			s.forget(old)
		}
		n.watches[id] = w
		s.watches = append(s.watches, w)
		from, _ := strconv.ParseUint(o.Revision(), 10, 64)
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].counter > from })
		for _, c := range s.log[i:] {
			s.notify(w, c)
		}
	})
}

func (s *Store) request(n *node, f effect.Effect) {
	write := f.Kind() == effect.Create || f.Kind() == effect.Update || f.Kind() == effect.Delete
	if write {
		s.Writes++
	} else {
		s.Reads++
	}
	s.count(n, []object.Object{f.Object()})
	answer := func(after time.Duration, objects []object.Object, revision string, err error) {
		s.count(n, objects)
		s.sim.deliver(n, after, event.NewStoreReplied(f.ID(), objects, revision, err))
	}
	if s.unreachable(n) {
		answer(requestTimeout, nil, "", unavailable())
		return
	}
	// The request takes effect whether or not its sender still lives when it arrives.
	s.sim.After(s.distance(n)+s.Latency, func() {
		if s.Unavailable {
			answer(s.distance(n), nil, "", unavailable())
			return
		}
		objects, revision, err := s.apply(f)
		if write && s.sim.rand.Float64() < s.AnswerLossRate {
			answer(requestTimeout, nil, "", fault.New(fault.MayHaveRun, "the store's answer was lost", "read the object back"))
			return
		}
		answer(s.distance(n), objects, revision, err)
	})
}

func (s *Store) apply(f effect.Effect) ([]object.Object, string, error) {
	o := f.Object()
	standing, ok := s.objects[key(o.Plural(), o.Name())]
	missing := fault.New(fault.NotFound, "no object "+key(o.Plural(), o.Name()), "create it")
	conflict := fault.New(fault.Conflict, "another write came first on "+key(o.Plural(), o.Name()), "read it again")
	switch f.Kind() {
	case effect.Get:
		if !ok {
			return nil, "", missing
		}
		return []object.Object{standing}, standing.Revision(), nil
	case effect.List:
		return s.list(o.Plural()), strconv.FormatUint(s.counter, 10), nil
	case effect.Create:
		if ok {
			return nil, "", conflict
		}
		return []object.Object{s.commit(event.Added, o)}, "", nil
	case effect.Update:
		if !ok {
			return nil, "", missing
		}
		if standing.Revision() != o.Revision() {
			return nil, "", conflict
		}
		return []object.Object{s.commit(event.Modified, o)}, "", nil
	case effect.Delete:
		if !ok {
			return nil, "", missing
		}
		if o.Revision() != "" && standing.Revision() != o.Revision() {
			return nil, "", conflict
		}
		return []object.Object{s.commit(event.Deleted, o)}, "", nil
	}
	return nil, "", fault.New(fault.Invalid, "unknown store request", "report this as a bug")
}

func (s *Store) list(plural string) []object.Object {
	var os []object.Object
	for _, o := range s.objects {
		if o.Plural() == plural {
			os = append(os, o)
		}
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name() < os[j].Name() })
	return os
}
