package driver

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/object"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func init() {
	kernel.Register("fake", 1, func() kernel.Part { return newFake() })
	machine.Register("script", 1, func(c machine.Config) machine.Machine { return &script{steps: scripts[c.Node]} })
}

// scripts holds the step function of each test by the node's address, read when the driver starts.
var scripts = map[string]func(time.Time, event.Event) []effect.Effect{}

// script is a machine that a test defines.
type script struct {
	steps func(time.Time, event.Event) []effect.Effect
}

func (s *script) Step(now time.Time, e event.Event) []effect.Effect { return s.steps(now, e) }

// fake stands for the identity, the linker, the store and the data path.
type fake struct {
	node  string
	lines chan string
	block chan struct{} // Get waits for a value when not nil
}

func newFake() *fake { return &fake{lines: make(chan string, 100)} }

func (f *fake) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }
func (f *fake) Config() machine.Config                                      { return machine.Config{Node: f.node} }
func (f *fake) Send(peer string, m message.Message)                         { f.lines <- "sent " + peer + " " + m.Kind() }
func (f *fake) Publish(value any)                                           { f.lines <- fmt.Sprint("published ", value) }

func (f *fake) Get(ctx context.Context, plural, name string) (object.Object, error) {
	if f.block != nil {
		select {
		case f.block <- struct{}{}:
		case <-ctx.Done():
		}
	}
	if name == "missing" {
		return object.Object{}, fault.New(fault.NotFound, "no such object", "")
	}
	return object.New(plural, name, "4", nil), nil
}

func (f *fake) List(_ context.Context, plural string) ([]object.Object, string, error) {
	return []object.Object{object.New(plural, "active", "4", nil), object.New(plural, "old", "2", nil)}, "9", nil
}

func (f *fake) Create(_ context.Context, o object.Object) (object.Object, error) {
	return object.New(o.Plural(), o.Name(), "1", nil), nil
}

func (f *fake) Update(_ context.Context, o object.Object) (object.Object, error) {
	if o.Name() == "stale" {
		return object.Object{}, fault.New(fault.Conflict, "another writer won", "")
	}
	return object.New(o.Plural(), o.Name(), "5", nil), nil
}

func (f *fake) Delete(context.Context, object.Object) error { return nil }

func (f *fake) Watch(ctx context.Context, plural, name, revision string, each func(event.Change, object.Object)) error {
	switch name {
	case "gone":
		return fault.New(fault.Gone, "too old", "")
	case "endless":
		for ctx.Err() == nil {
			each(event.Modified, object.New(plural, name, revision, nil))
		}
		f.lines <- "watch ended"
		return ctx.Err()
	}
	each(event.Added, object.New(plural, "active", "4", nil))
	each(event.Deleted, object.New(plural, "active", "6", nil))
	return nil
}

// start runs a driver with one scripted machine; it stops at the end of the test.
func start(t *testing.T, steps func(time.Time, event.Event) []effect.Effect, settings ...func(*Driver, *fake)) (*Driver, *fake) {
	t.Helper()
	k := kernel.New()
	k.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := kernel.Need[*Driver](k)
	if err != nil {
		t.Fatal(err)
	}
	f, err := kernel.Need[*fake](k)
	if err != nil {
		t.Fatal(err)
	}
	d.StoreRequests = 2
	f.node = t.Name()
	scripts[f.node] = steps
	for _, set := range settings {
		set(d, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end, err := d.Start(ctx, k)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return d, f
}

var kinds = map[string]effect.Kind{
	"get": effect.Get, "list": effect.List, "create": effect.Create, "update": effect.Update, "delete": effect.Delete,
	"watch": effect.Watch,
}

// parse returns the effect that one line of a cases file describes.
func parse(line string) effect.Effect {
	words := strings.Fields(line)
	switch words[0] {
	case "send":
		return effect.NewSend(words[1], message.New("note", nil))
	case "publish":
		return effect.NewPublish(words[1])
	case "raise":
		return effect.NewRaise(event.NewLocal(words[1], nil))
	}
	o := object.New(words[1], strings.Join(words[2:], ""), "3", nil)
	return effect.NewStoreRequest(kinds[words[0]], line, o)
}

func describe(e event.Event) string {
	var names []string
	for _, o := range e.Objects() {
		names = append(names, o.Plural()+"/"+o.Name()+"@"+o.Revision())
	}
	return fmt.Sprintf("kind=%d id=%q change=%q objects=%v revision=%q err=%v", e.Kind(), e.ID(), e.Change(), names, e.Revision(), e.Err())
}

// Guards against effects that are lost or carried out wrongly, and against answers without their request's identifier.
func TestEffects(t *testing.T) {
	var f *fake
	ready := make(chan struct{})
	d, f := start(t, func(_ time.Time, e event.Event) []effect.Effect {
		<-ready
		switch {
		case e.Kind() == event.Tick:
			return nil
		case e.ID() == "do":
			return []effect.Effect{parse(e.Value().(string))}
		}
		f.lines <- describe(e)
		return nil
	})
	close(ready)
	cases, err := os.ReadFile("testdata/effects.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for line := range strings.Lines(string(cases)) {
		line = strings.TrimSpace(line)
		d.Inject(event.NewLocal("do", line))
		fmt.Fprintf(&out, "%s\n", line)
		for {
			seen := <-f.lines
			fmt.Fprintf(&out, "  %s\n", seen)
			if !strings.Contains(seen, `change="ADDED"`) && !strings.Contains(seen, `change="DELETED"`) {
				break
			}
		}
	}
	goldie.New(t).Assert(t, "effects", []byte(out.String()))
}

// Guards against store requests that are lost when more are asked for than may run at a time.
func TestRequestsBeyondTheLimit(t *testing.T) {
	const asked = 50
	answers := make(chan string, asked)
	d, f := start(t, func(_ time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() == event.StoreReplied {
			answers <- e.ID()
		}
		for i := 0; e.Kind() == event.Local && i < asked; i++ {
			fs = append(fs, effect.NewStoreRequest(effect.Get, fmt.Sprint(i), object.New("heads", "active", "", nil)))
		}
		return fs
	}, func(_ *Driver, f *fake) { f.block = make(chan struct{}) })
	d.Inject(event.NewLocal("do", nil))
	for range asked {
		<-f.block
	}
	seen := map[string]bool{}
	for range asked {
		seen[<-answers] = true
	}
	if len(seen) != asked {
		t.Errorf("%d of %d requests were answered", len(seen), asked)
	}
}

// Guards against a backlog of store requests without bound; the refusal must be an answer.
func TestBacklogIsBounded(t *testing.T) {
	refused := make(chan error, 1)
	d, _ := start(t, func(_ time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() == event.StoreReplied {
			refused <- e.Err()
		}
		for i := 0; e.Kind() == event.Local && i < backlogLimit+3; i++ {
			fs = append(fs, effect.NewStoreRequest(effect.Get, fmt.Sprint(i), object.Object{}))
		}
		return fs
	}, func(_ *Driver, f *fake) { f.block = make(chan struct{}) })
	d.Inject(event.NewLocal("do", nil))
	if err := <-refused; fault.KindOf(err) != fault.Throttled {
		t.Errorf("refused with %v", err)
	}
}

// Guards against events of a watch after the machine has ended or replaced it.
func TestUnwatch(t *testing.T) {
	result := make(chan string, 1)
	watching := true
	d, f := start(t, func(_ time.Time, e event.Event) []effect.Effect {
		o := object.New("heads", "endless", "3", nil)
		switch {
		case e.ID() == "do":
			return []effect.Effect{effect.NewStoreRequest(effect.Watch, "w", o)}
		case e.ID() == "check":
			result <- "quiet"
		case e.Kind() == event.Watched && watching:
			watching = false
			return []effect.Effect{effect.NewUnwatch("w")}
		case e.Kind() == event.Watched:
			result <- "event of an ended watch"
		}
		return nil
	})
	d.Inject(event.NewLocal("do", nil))
	// The queue keeps its order, so everything that the watch has queued comes before the check.
	<-f.lines
	d.Inject(event.NewLocal("check", nil))
	if got := <-result; got != "quiet" {
		t.Error(got)
	}
}

// Guards against wake-ups that are forgotten when an earlier one passes, and against ticks that come too late.
func TestWakes(t *testing.T) {
	zero := time.Unix(0, 0)
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	var w wakes
	var out strings.Builder
	for _, ms := range []int{30, 10, 150, 20, 10} {
		w.add(at(ms))
	}
	for now := 0; now <= 180; now += 15 {
		w.passed(at(now))
		fmt.Fprintf(&out, "at %d: next at %d of %d\n", now, w.next(at(now+100)).Sub(zero).Milliseconds(), len(w.times))
	}
	goldie.New(t).Assert(t, "wakes", []byte(out.String()))
}

// Guards against ticks that stop or come before their time.
func TestTicksAndWakes(t *testing.T) {
	var first time.Time
	wanted := []time.Duration{30 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}
	ticks := make(chan time.Duration, 100)
	start(t, func(now time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() != event.Tick || len(ticks) == cap(ticks) {
			return nil
		}
		if first.IsZero() {
			first = now
			for _, w := range wanted {
				fs = append(fs, effect.NewWake(now.Add(w)))
			}
		}
		ticks <- now.Sub(first)
		return fs
	})
	for i, w := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 0} {
		if got := <-ticks; got < w {
			t.Errorf("tick %d came after %v", i, got)
		}
	}
}

// Guards against messages that are dropped without a count, and against messages that displace other events.
func TestQueueIsBounded(t *testing.T) {
	d := &Driver{now: time.Now, queue: make(chan item, queueSize)}
	before := receivedDropped.Count()
	for range receivedLimit + 5 {
		d.Inject(event.NewReceived("peer", message.Message{}))
	}
	if got := receivedDropped.Count() - before; got != 5 {
		t.Errorf("%d messages were counted as dropped", got)
	}
	before = eventsDropped.Count()
	for range queueSize - receivedLimit + 2 {
		d.Inject(event.NewLinked("peer"))
	}
	if got := eventsDropped.Count() - before; got != 2 {
		t.Errorf("%d other events were counted as dropped", got)
	}
}
