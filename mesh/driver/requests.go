package driver

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
)

const (
	// storeTimeout ends a request whose store part has no limit of its own.
	storeTimeout = 10 * time.Second
	// backlogLimit bounds requests that wait for a free place.
	backlogLimit = 1024
)

// store is the platform's object API.
type store interface {
	// Get returns one object, or a fault of kind NotFound.
	Get(ctx context.Context, plural, name string) (object.Object, error)
	// List returns all objects of a plural and the revision to watch from.
	List(ctx context.Context, plural string) ([]object.Object, string, error)
	// Create returns the object with its revision, or a fault of kind Conflict if the name is taken.
	Create(ctx context.Context, o object.Object) (object.Object, error)
	// Update is conditional on the object's revision, with a fault of kind Conflict if it is no longer current.
	Update(ctx context.Context, o object.Object) (object.Object, error)
	// Delete is conditional on the object's revision.
	Delete(ctx context.Context, o object.Object) error
	// Watch calls each in order until ctx ends or the watch fails, with a fault of kind Gone if the revision is too
	// old; an empty name means all objects of the plural.
	Watch(ctx context.Context, plural, name, revision string, each func(event.Change, object.Object)) error
}

// watch is one running watch; ended is set by the driver's goroutine only.
type watch struct {
	cancel context.CancelFunc
	ended  bool
}

// end is the report of a goroutine.
type end struct {
	watch *watch // nil for a request
}

// requests runs store requests in goroutines; its methods are for the driver's goroutine only.
type requests struct {
	store   store
	limit   int
	queue   chan<- item
	ends    chan end
	running int // goroutines of requests
	backlog []effect.Effect
	watches map[string]*watch
	all     int // goroutines of requests and watches
}

func newRequests(s store, limit int, queue chan<- item) *requests {
	return &requests{store: s, limit: limit, queue: queue, ends: make(chan end), watches: map[string]*watch{}}
}

// begin runs the request now or when a place is free, and reports false if too many wait.
func (r *requests) begin(ctx context.Context, f effect.Effect) bool {
	if r.running < r.limit {
		r.run(ctx, f)
		return true
	}
	if len(r.backlog) >= backlogLimit {
		return false
	}
	r.backlog = append(r.backlog, f)
	return true
}

func (r *requests) run(ctx context.Context, f effect.Effect) {
	r.running++
	r.all++
	go func() {
		defer func() { r.ends <- end{} }()
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		r.inject(ctx, item{event: r.ask(limited, f)})
	}()
}

// inject waits for room in the queue, so that no answer of the store is lost while ctx lasts.
func (r *requests) inject(ctx context.Context, i item) {
	select {
	case r.queue <- i:
	case <-ctx.Done():
	}
}

// ask performs one request and returns its answer.
func (r *requests) ask(ctx context.Context, f effect.Effect) event.Event {
	var o object.Object
	var err error
	switch f.Kind() {
	case effect.List:
		objects, revision, err := r.store.List(ctx, f.Object().Plural())
		return event.NewStoreReplied(f.ID(), objects, revision, err)
	case effect.Get:
		o, err = r.store.Get(ctx, f.Object().Plural(), f.Object().Name())
	case effect.Create:
		o, err = r.store.Create(ctx, f.Object())
	case effect.Update:
		o, err = r.store.Update(ctx, f.Object())
	case effect.Delete:
		err = r.store.Delete(ctx, f.Object())
		return event.NewStoreReplied(f.ID(), nil, "", err)
	}
	if err != nil {
		return event.NewStoreReplied(f.ID(), nil, "", err)
	}
	return event.NewStoreReplied(f.ID(), []object.Object{o}, o.Revision(), nil)
}

// watch starts a watch in place of a running one with the same identifier, whose events no longer count.
func (r *requests) watch(ctx context.Context, f effect.Effect) {
	r.unwatch(f.ID())
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	r.watches[f.ID()] = w
	r.all++
	go func() {
		defer func() { r.ends <- end{watch: w} }()
		o := f.Object()
		err := r.store.Watch(ctx, o.Plural(), o.Name(), o.Revision(), func(c event.Change, seen object.Object) {
			r.inject(ctx, item{event: event.NewWatched(f.ID(), c, seen), watch: w})
		})
		r.inject(ctx, item{event: event.NewWatchEnded(f.ID(), err), watch: w, last: true})
	}()
}

func (r *requests) unwatch(id string) {
	w, ok := r.watches[id]
	if !ok {
		return
	}
	w.ended = true
	w.cancel()
	delete(r.watches, id)
}

// current reports whether the machines still want the event, and forgets a watch at its last one.
func (r *requests) current(i item) bool {
	if i.watch == nil {
		return true
	}
	if i.watch.ended {
		return false
	}
	if i.last {
		delete(r.watches, i.event.ID())
	}
	return true
}

// finish accounts for a goroutine's end and starts a request that waited for its place.
func (r *requests) finish(ctx context.Context, e end) {
	r.all--
	if e.watch != nil {
		e.watch.cancel()
		return
	}
	r.running--
	if len(r.backlog) > 0 {
		next := r.backlog[0]
		r.backlog = r.backlog[1:]
		r.run(ctx, next)
	}
}

// wait returns after all goroutines have ended; their context has ended before.
func (r *requests) wait() {
	for r.all > 0 {
		<-r.ends
		r.all--
	}
}
