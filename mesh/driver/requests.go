package driver

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/object"
)

const (
	// storeTimeout bounds a request if the store part has no timeout of its own.
	storeTimeout = 10 * time.Second
	// maxBacklog bounds the requests that wait until fewer than the maximum run.
	maxBacklog = 1024
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

// watch is a running watch. Only the driver's goroutine uses cancelled.
type watch struct {
	cancel    context.CancelFunc
	cancelled bool
}

// completion reports that the goroutine of a request or a watch has ended.
type completion struct {
	watch *watch // nil for a request
}

// requests runs store requests and watches in goroutines. Only the driver's goroutine may call start, watch, unwatch,
// accept, handleCompletion and wait.
type requests struct {
	store       store
	maxRunning  int
	queue       chan<- queuedEvent
	completions chan completion
	running     int // goroutines of requests
	backlog     []effect.Effect
	watches     map[string]*watch // by the identifier of the effect
	goroutines  int               // goroutines of requests and watches
}

func newRequests(s store, maxRunning int, queue chan<- queuedEvent) *requests {
	return &requests{
		store: s, maxRunning: maxRunning, queue: queue, completions: make(chan completion),
		watches: map[string]*watch{},
	}
}

// start runs the request now or when fewer than maxRunning run. It returns false if too many requests wait.
func (r *requests) start(ctx context.Context, f effect.Effect) bool {
	if r.running < r.maxRunning {
		r.run(ctx, f)
		return true
	}
	if len(r.backlog) >= maxBacklog {
		return false
	}
	r.backlog = append(r.backlog, f)
	return true
}

func (r *requests) run(ctx context.Context, f effect.Effect) {
	r.running++
	r.goroutines++
	go func() {
		defer func() { r.completions <- completion{} }()
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		r.enqueue(ctx, queuedEvent{event: r.perform(limited, f)})
	}()
}

// enqueue waits for space in the queue, so that no reply of the store is lost until ctx ends.
func (r *requests) enqueue(ctx context.Context, e queuedEvent) {
	select {
	case r.queue <- e:
	case <-ctx.Done():
	}
}

// perform performs one request and returns its reply.
func (r *requests) perform(ctx context.Context, f effect.Effect) event.Event {
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

// watch starts a watch. It replaces a running watch with the same identifier, whose further events are discarded.
func (r *requests) watch(ctx context.Context, f effect.Effect) {
	r.unwatch(f.ID())
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	r.watches[f.ID()] = w
	r.goroutines++
	go func() {
		defer func() { r.completions <- completion{watch: w} }()
		o := f.Object()
		err := r.store.Watch(ctx, o.Plural(), o.Name(), o.Revision(), func(c event.Change, changed object.Object) {
			r.enqueue(ctx, queuedEvent{event: event.NewWatched(f.ID(), c, changed), watch: w})
		})
		r.enqueue(ctx, queuedEvent{event: event.NewWatchEnded(f.ID(), err), watch: w, isLast: true})
	}()
}

func (r *requests) unwatch(id string) {
	w, ok := r.watches[id]
	if !ok {
		return
	}
	w.cancelled = true
	w.cancel()
	delete(r.watches, id)
}

// accept reports whether the event is not of a cancelled watch, and removes a watch at its last event.
func (r *requests) accept(e queuedEvent) bool {
	if e.watch == nil {
		return true
	}
	if e.watch.cancelled {
		return false
	}
	if e.isLast {
		delete(r.watches, e.event.ID())
	}
	return true
}

// handleCompletion counts the goroutine as ended and starts the next waiting request.
func (r *requests) handleCompletion(ctx context.Context, c completion) {
	r.goroutines--
	if c.watch != nil {
		c.watch.cancel()
		return
	}
	r.running--
	if len(r.backlog) > 0 {
		next := r.backlog[0]
		r.backlog = r.backlog[1:]
		r.run(ctx, next)
	}
}

// wait returns after all goroutines have ended. Their context must have ended before.
func (r *requests) wait() {
	for r.goroutines > 0 {
		<-r.completions
		r.goroutines--
	}
}
