package accepter

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
)

// Behaviours of the fake store for one request.
const (
	succeed     = "ok"   // the request succeeds
	unavailable = "out"  // the request is not sent
	throttled   = "busy" // the request is refused by the rate limit
	loseAnswer  = "lost" // the answer is lost after the effect
	loseRequest = "drop" // the request is lost after it was sent
	delayEffect = "late" // the request takes effect a few requests later, if its condition still holds
)

// fakeStore is an in-memory store with conditional writes.
type fakeStore struct {
	mutex   sync.Mutex
	count   int
	objects map[string]object.Object
	delayed []delayed
	heads   []head.Head       // every head written, in order
	presets []preset.Manifest // every manifest written, in order
	calls   []string
	// plan returns the behaviour for a request; it may call put to write as another writer.
	plan func(call string) string
	// turn blocks a request until the schedule releases it; nil runs it at once.
	turn func()
}

type delayed struct {
	object object.Object
	left   int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]object.Object{}, plan: func(string) string { return succeed }}
}

// delayedRequests is the number of requests until a delayed write takes effect: after the read back and just before the
// next attempt.
const delayedRequests = 2

// begin applies delayed writes that are due, then returns the behaviour for the request. It leaves the mutex locked.
func (f *fakeStore) begin(call string) (string, error) {
	if f.turn != nil {
		f.turn()
	}
	f.mutex.Lock()
	waiting := f.delayed
	f.delayed = nil
	for _, d := range waiting {
		d.left--
		if d.left > 0 {
			f.delayed = append(f.delayed, d)
			continue
		}
		_, _ = f.put(d.object)
	}
	behaviour := f.plan(call)
	f.calls = append(f.calls, call+" "+behaviour)
	switch behaviour {
	case unavailable:
		return behaviour, fault.New(fault.Unavailable, "connection refused", "")
	case throttled:
		return behaviour, fault.New(fault.Throttled, "over the rate limit", "")
	}
	return behaviour, nil
}

func lostAnswer() error { return fault.New(fault.MayHaveRun, "no answer", "") }

// put writes o if its revision is the current one; the caller holds the mutex.
func (f *fakeStore) put(o object.Object) (object.Object, error) {
	key := o.Plural() + "/" + o.Name()
	if f.objects[key].Revision() != o.Revision() {
		return object.Object{}, fault.New(fault.Conflict, "another revision", "")
	}
	f.count++
	o = object.New(o.Plural(), o.Name(), "r"+strconv.Itoa(f.count), o.Spec())
	f.objects[key] = o
	if o.Plural() == head.Plural {
		h, err := head.Decode(o)
		if err != nil {
			panic(err)
		}
		f.heads = append(f.heads, h)
	}
	if o.Plural() == preset.Plural {
		s, err := preset.Decode(o)
		if err != nil {
			panic(err)
		}
		f.presets = append(f.presets, s)
	}
	return o, nil
}

// change replaces an object as another writer; the caller holds the mutex.
func (f *fakeStore) change(plural, name string, edit func(object.Object) []byte) {
	o, ok := f.objects[plural+"/"+name]
	if !ok {
		o = object.New(plural, name, "", nil)
	}
	if _, err := f.put(o.WithSpec(edit(o))); err != nil {
		panic(err)
	}
}

func (f *fakeStore) Get(_ context.Context, plural, name string) (object.Object, error) {
	behaviour, err := f.begin(fmt.Sprintf("get %s/%s", plural, name))
	defer f.mutex.Unlock()
	switch {
	case err != nil:
		return object.Object{}, err
	case behaviour != succeed:
		return object.Object{}, lostAnswer()
	}
	o, ok := f.objects[plural+"/"+name]
	if !ok {
		return object.Object{}, fault.New(fault.NotFound, "no such object", "")
	}
	return o, nil
}

func (f *fakeStore) List(_ context.Context, plural string) ([]object.Object, string, error) {
	_, err := f.begin("list " + plural)
	defer f.mutex.Unlock()
	var all []object.Object
	for _, o := range f.objects {
		if o.Plural() == plural {
			all = append(all, o)
		}
	}
	return all, strconv.Itoa(f.count), err
}

func (f *fakeStore) Create(_ context.Context, o object.Object) (object.Object, error) {
	return f.write("create", o)
}

func (f *fakeStore) Update(_ context.Context, o object.Object) (object.Object, error) {
	return f.write("update", o)
}

func (f *fakeStore) write(verb string, o object.Object) (object.Object, error) {
	behaviour, err := f.begin(fmt.Sprintf("%s %s/%s", verb, o.Plural(), o.Name()))
	defer f.mutex.Unlock()
	switch {
	case err != nil:
		return object.Object{}, err
	case behaviour == delayEffect:
		f.delayed = append(f.delayed, delayed{object: o, left: delayedRequests})
		return object.Object{}, lostAnswer()
	case behaviour == loseRequest:
		return object.Object{}, lostAnswer()
	}
	stored, err := f.put(o)
	if behaviour == loseAnswer {
		return object.Object{}, lostAnswer()
	}
	return stored, err
}
