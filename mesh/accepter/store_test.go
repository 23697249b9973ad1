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

// What the fake store does with one request.
const (
	answer = "ok"   // as it should
	out    = "out"  // not sent
	busy   = "busy" // over the rate limit
	gone   = "lost" // the answer is lost after the effect
	drop   = "drop" // the request is lost after it was sent
	late   = "late" // the request takes effect a few requests later, if its condition still holds
)

// fake is a small store with conditional writes.
type fake struct {
	mutex   sync.Mutex
	count   int
	objects map[string]object.Object
	delayed []delayed
	heads   []head.Head       // every head that stood, in order
	presets []preset.Manifest // every manifest that stood, in order
	calls   []string
	// plan returns what to do with a request; it may call put to write for someone else.
	plan func(call string) string
	// turn blocks a request until the schedule lets it run; nil runs it at once.
	turn func()
}

type delayed struct {
	object object.Object
	left   int
}

func newFake() *fake {
	return &fake{objects: map[string]object.Object{}, plan: func(string) string { return answer }}
}

// lateness is how many requests a delayed write waits; it is longer than a read back and its next attempt.
const lateness = 2

// begin runs what precedes a request and returns what to do with it.
func (f *fake) begin(call string) (string, error) {
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
	what := f.plan(call)
	f.calls = append(f.calls, call+" "+what)
	switch what {
	case out:
		return what, fault.New(fault.Unavailable, "connection refused", "")
	case busy:
		return what, fault.New(fault.Throttled, "over the rate limit", "")
	}
	return what, nil
}

func lostAnswer() error { return fault.New(fault.MayHaveRun, "no answer", "") }

// put writes with the condition of o's revision; the mutex is held.
func (f *fake) put(o object.Object) (object.Object, error) {
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

// change replaces an object for someone else; the mutex is held.
func (f *fake) change(plural, name string, edit func(object.Object) []byte) {
	o, ok := f.objects[plural+"/"+name]
	if !ok {
		o = object.New(plural, name, "", nil)
	}
	if _, err := f.put(o.WithSpec(edit(o))); err != nil {
		panic(err)
	}
}

func (f *fake) Get(_ context.Context, plural, name string) (object.Object, error) {
	what, err := f.begin(fmt.Sprintf("get %s/%s", plural, name))
	defer f.mutex.Unlock()
	switch {
	case err != nil:
		return object.Object{}, err
	case what != answer:
		return object.Object{}, lostAnswer()
	}
	o, ok := f.objects[plural+"/"+name]
	if !ok {
		return object.Object{}, fault.New(fault.NotFound, "no such object", "")
	}
	return o, nil
}

func (f *fake) List(_ context.Context, plural string) ([]object.Object, string, error) {
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

func (f *fake) Create(_ context.Context, o object.Object) (object.Object, error) {
	return f.write("create", o)
}

func (f *fake) Update(_ context.Context, o object.Object) (object.Object, error) {
	return f.write("update", o)
}

func (f *fake) write(verb string, o object.Object) (object.Object, error) {
	what, err := f.begin(fmt.Sprintf("%s %s/%s", verb, o.Plural(), o.Name()))
	defer f.mutex.Unlock()
	switch {
	case err != nil:
		return object.Object{}, err
	case what == late:
		f.delayed = append(f.delayed, delayed{object: o, left: lateness})
		return object.Object{}, lostAnswer()
	case what == drop:
		return object.Object{}, lostAnswer()
	}
	stored, err := f.put(o)
	if what == gone {
		return object.Object{}, lostAnswer()
	}
	return stored, err
}
