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

// requestTimeout is the driver's timeout for store requests.
const requestTimeout = 2 * time.Second

// Store is an in-memory fake of the platform's object API. Exported fields may be changed at any time.
type Store struct {
	Unavailable    bool          // all requests fail; SetUnavailable also ends the watches
	Latency        time.Duration // processing time of a request
	AnswerLossRate float64       // fraction of write requests whose reply is lost after processing
	Reads          int64         // read requests, including watch requests
	Writes         int64         // write requests

	sim      *Simulator
	revision uint64
	objects  map[string]object.Object
	log      []change
	watches  []*watch
}

type change struct {
	revision uint64
	kind     event.Change
	object   object.Object
}

type watch struct {
	node        *node
	generation  uint64
	id          string
	plural      string
	name        string
	ended       bool
	lastArrival time.Time // when the latest event arrives; later events do not overtake it
}

func newStore(s *Simulator) *Store {
	return &Store{Latency: 2 * time.Millisecond, sim: s, objects: map[string]object.Object{}}
}

func key(plural, name string) string { return plural + "/" + name }

// WatchCount returns the number of open watches.
func (s *Store) WatchCount() int { return len(s.watches) }

// Object returns the stored object, or the zero Object if there is none.
func (s *Store) Object(plural, name string) object.Object { return s.objects[key(plural, name)] }

// Put writes an object immediately without a revision check, as an operator's tool would.
func (s *Store) Put(plural, name string, spec []byte) object.Object {
	kind := event.Modified
	if _, ok := s.objects[key(plural, name)]; !ok {
		kind = event.Added
	}
	return s.commit(kind, object.New(plural, name, "", spec))
}

// SetUnavailable starts or ends an outage; its start ends all watches.
func (s *Store) SetUnavailable(unavailable bool) {
	s.Unavailable = unavailable
	if !unavailable {
		return
	}
	for _, w := range s.watches {
		w.ended = true
		s.deliver(w, event.NewWatchEnded(w.id, unavailableError()))
	}
	s.watches = nil
}

func unavailableError() error {
	return fault.New(fault.Unavailable, "the store does not answer", "wait for the platform")
}

func (s *Store) commit(kind event.Change, o object.Object) object.Object {
	s.revision++
	stored := object.New(o.Plural(), o.Name(), strconv.FormatUint(s.revision, 10), o.Spec())
	if kind == event.Deleted {
		delete(s.objects, key(o.Plural(), o.Name()))
	} else {
		s.objects[key(o.Plural(), o.Name())] = stored
	}
	c := change{revision: s.revision, kind: kind, object: stored}
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
	s.deliver(w, event.NewWatched(w.id, c.kind, c.object))
}

func (s *Store) deliver(w *watch, e event.Event) {
	n := w.node
	if n.generation != w.generation || s.unreachable(n) {
		return
	}
	at := s.sim.now.Add(s.delay(n))
	if at.Before(w.lastArrival) {
		at = w.lastArrival
	}
	w.lastArrival = at
	s.countBytes(n, e.Objects())
	s.sim.deliver(n, at.Sub(s.sim.now), e)
}

// countBytes adds the contents of objects sent between the store and the node to the byte counters.
func (s *Store) countBytes(n *node, os []object.Object) {
	var size int64
	for _, o := range os {
		size += int64(len(o.Spec()))
	}
	s.sim.bytes[n.config.Node] += size
	if n.config.Region != s.sim.StoreRegion {
		s.sim.crossRegionBytes += size
	}
}

func (s *Store) removeWatch(w *watch) {
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

func (s *Store) delay(n *node) time.Duration {
	d := withinRegionDelay
	if n.config.Region != s.sim.StoreRegion {
		d = crossRegionDelay
	}
	return d + time.Duration(s.sim.rand.Float64()*s.sim.Jitter*float64(d))
}

func (s *Store) watch(n *node, id string, o object.Object) {
	generation := n.generation
	s.Reads++
	if s.Unavailable || s.unreachable(n) {
		s.sim.deliver(n, requestTimeout, event.NewWatchEnded(id, unavailableError()))
		return
	}
	n.pendingWatches[id] = true
	s.sim.After(s.delay(n), func() {
		// An Unwatch may have cancelled the request while it was in flight.
		if n.generation != generation || !n.pendingWatches[id] {
			return
		}
		delete(n.pendingWatches, id)
		if s.Unavailable {
			s.sim.deliver(n, s.delay(n), event.NewWatchEnded(id, unavailableError()))
			return
		}
		w := &watch{node: n, generation: generation, id: id, plural: o.Plural(), name: o.Name()}
		if old := n.watches[id]; old != nil {
			s.removeWatch(old)
		}
		n.watches[id] = w
		s.watches = append(s.watches, w)
		from, _ := strconv.ParseUint(o.Revision(), 10, 64)
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > from })
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
	s.countBytes(n, []object.Object{f.Object()})
	reply := func(after time.Duration, objects []object.Object, revision string, err error) {
		s.countBytes(n, objects)
		s.sim.deliver(n, after, event.NewStoreReplied(f.ID(), objects, revision, err))
	}
	if s.unreachable(n) {
		reply(requestTimeout, nil, "", unavailableError())
		return
	}
	// The request takes effect even if its sender was killed in the meantime.
	s.sim.After(s.delay(n)+s.Latency, func() {
		if s.Unavailable {
			reply(s.delay(n), nil, "", unavailableError())
			return
		}
		objects, revision, err := s.apply(f)
		if write && s.sim.rand.Float64() < s.AnswerLossRate {
			reply(requestTimeout, nil, "", fault.New(fault.MayHaveRun, "the store's answer was lost", "read the object back"))
			return
		}
		reply(s.delay(n), objects, revision, err)
	})
}

func (s *Store) apply(f effect.Effect) ([]object.Object, string, error) {
	o := f.Object()
	stored, ok := s.objects[key(o.Plural(), o.Name())]
	missing := fault.New(fault.NotFound, "no object "+key(o.Plural(), o.Name()), "create it")
	conflict := fault.New(fault.Conflict, "another write came first on "+key(o.Plural(), o.Name()), "read it again")
	switch f.Kind() {
	case effect.Get:
		if !ok {
			return nil, "", missing
		}
		return []object.Object{stored}, stored.Revision(), nil
	case effect.List:
		return s.list(o.Plural()), strconv.FormatUint(s.revision, 10), nil
	case effect.Create:
		if ok {
			return nil, "", conflict
		}
		return []object.Object{s.commit(event.Added, o)}, "", nil
	case effect.Update:
		if !ok {
			return nil, "", missing
		}
		if stored.Revision() != o.Revision() {
			return nil, "", conflict
		}
		return []object.Object{s.commit(event.Modified, o)}, "", nil
	case effect.Delete:
		if !ok {
			return nil, "", missing
		}
		if o.Revision() != "" && stored.Revision() != o.Revision() {
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
