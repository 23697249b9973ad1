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
	machine.Register("script", 1, func(c machine.Config) machine.Machine { return &scriptedMachine{step: steps[c.Node]} })
}

// steps holds the step function of each test by the node's address; it is read when the driver starts.
var steps = map[string]func(time.Time, event.Event) []effect.Effect{}

// scriptedMachine is a machine whose step function is defined by a test.
type scriptedMachine struct {
	step func(time.Time, event.Event) []effect.Effect
}

func (m *scriptedMachine) Step(now time.Time, e event.Event) []effect.Effect { return m.step(now, e) }

// fakePart replaces the identity, the linker, the store and the data path.
type fakePart struct {
	node   string
	output chan string   // a line for each call that a test checks
	block  chan struct{} // if not nil, Get blocks until a value is received from it
}

func newFake() *fakePart { return &fakePart{output: make(chan string, 100)} }

func (f *fakePart) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }
func (f *fakePart) Config() machine.Config                                      { return machine.Config{Node: f.node} }
func (f *fakePart) Send(peer string, m message.Message)                         { f.output <- "sent " + peer + " " + m.Kind() }
func (f *fakePart) Publish(value any)                                           { f.output <- fmt.Sprint("published ", value) }

func (f *fakePart) Get(ctx context.Context, plural, name string) (object.Object, error) {
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

func (f *fakePart) List(_ context.Context, plural string) ([]object.Object, string, error) {
	return []object.Object{object.New(plural, "active", "4", nil), object.New(plural, "old", "2", nil)}, "9", nil
}

func (f *fakePart) Create(_ context.Context, o object.Object) (object.Object, error) {
	return object.New(o.Plural(), o.Name(), "1", nil), nil
}

func (f *fakePart) Update(_ context.Context, o object.Object) (object.Object, error) {
	if o.Name() == "stale" {
		return object.Object{}, fault.New(fault.Conflict, "another writer won", "")
	}
	return object.New(o.Plural(), o.Name(), "5", nil), nil
}

func (f *fakePart) Delete(context.Context, object.Object) error { return nil }

func (f *fakePart) Watch(ctx context.Context, plural, name, revision string, each func(event.Change, object.Object)) error {
	switch name {
	case "gone":
		return fault.New(fault.Gone, "too old", "")
	case "endless":
		for ctx.Err() == nil {
			each(event.Modified, object.New(plural, name, revision, nil))
		}
		f.output <- "watch ended"
		return ctx.Err()
	}
	each(event.Added, object.New(plural, "active", "4", nil))
	each(event.Deleted, object.New(plural, "active", "6", nil))
	return nil
}

// startDriver runs a driver with one scripted machine; it stops at the end of the test.
func startDriver(
	t *testing.T, step func(time.Time, event.Event) []effect.Effect, settings ...func(*Driver, *fakePart),
) (*Driver, *fakePart) {
	t.Helper()
	k := kernel.New()
	k.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := kernel.Need[*Driver](k)
	if err != nil {
		t.Fatal(err)
	}
	f, err := kernel.Need[*fakePart](k)
	if err != nil {
		t.Fatal(err)
	}
	d.StoreRequests = 2
	f.node = t.Name()
	steps[f.node] = step
	for _, set := range settings {
		set(d, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, err := d.Start(ctx, k)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d, f
}

var kinds = map[string]effect.Kind{
	"get": effect.Get, "list": effect.List, "create": effect.Create, "update": effect.Update, "delete": effect.Delete,
	"watch": effect.Watch,
}

// parseEffect returns the effect that a line of testdata/effects.txt describes.
func parseEffect(line string) effect.Effect {
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

func formatEvent(e event.Event) string {
	var names []string
	for _, o := range e.Objects() {
		names = append(names, o.Plural()+"/"+o.Name()+"@"+o.Revision())
	}
	return fmt.Sprintf("kind=%d id=%q change=%q objects=%v revision=%q err=%v", e.Kind(), e.ID(), e.Change(), names, e.Revision(), e.Err())
}

// TestEffects guards against effects that are lost or applied wrongly, and against replies without the identifier of
// their request.
func TestEffects(t *testing.T) {
	var f *fakePart
	ready := make(chan struct{})
	d, f := startDriver(t, func(_ time.Time, e event.Event) []effect.Effect {
		<-ready
		switch {
		case e.Kind() == event.Tick:
			return nil
		case e.ID() == "do":
			return []effect.Effect{parseEffect(e.Value().(string))}
		}
		f.output <- formatEvent(e)
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
			seen := <-f.output
			fmt.Fprintf(&out, "  %s\n", seen)
			if !strings.Contains(seen, `change="ADDED"`) && !strings.Contains(seen, `change="DELETED"`) {
				break
			}
		}
	}
	goldie.New(t).Assert(t, "effects", []byte(out.String()))
}

// TestRequestsBeyondTheLimit guards against store requests that are lost when more are made than may run at a time.
func TestRequestsBeyondTheLimit(t *testing.T) {
	const requested = 50
	answers := make(chan string, requested)
	d, f := startDriver(t, func(_ time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() == event.StoreReplied {
			answers <- e.ID()
		}
		for i := 0; e.Kind() == event.Local && i < requested; i++ {
			fs = append(fs, effect.NewStoreRequest(effect.Get, fmt.Sprint(i), object.New("heads", "active", "", nil)))
		}
		return fs
	}, func(_ *Driver, f *fakePart) { f.block = make(chan struct{}) })
	d.Inject(event.NewLocal("do", nil))
	for range requested {
		<-f.block
	}
	seen := map[string]bool{}
	for range requested {
		seen[<-answers] = true
	}
	if len(seen) != requested {
		t.Errorf("%d of %d requests were answered", len(seen), requested)
	}
}

// TestBacklogIsBounded guards against a backlog of store requests that grows without limit, and against refused
// requests that get no reply.
func TestBacklogIsBounded(t *testing.T) {
	refused := make(chan error, 1)
	d, _ := startDriver(t, func(_ time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() == event.StoreReplied {
			refused <- e.Err()
		}
		for i := 0; e.Kind() == event.Local && i < maxBacklog+3; i++ {
			fs = append(fs, effect.NewStoreRequest(effect.Get, fmt.Sprint(i), object.Object{}))
		}
		return fs
	}, func(_ *Driver, f *fakePart) { f.block = make(chan struct{}) })
	d.Inject(event.NewLocal("do", nil))
	if err := <-refused; fault.KindOf(err) != fault.Throttled {
		t.Errorf("refused with %v", err)
	}
}

// TestUnwatch guards against events of a watch after the machine has ended it.
func TestUnwatch(t *testing.T) {
	result := make(chan string, 1)
	watching := true
	d, f := startDriver(t, func(_ time.Time, e event.Event) []effect.Effect {
		o := object.New("heads", "endless", "3", nil)
		switch {
		case e.ID() == "do":
			return []effect.Effect{effect.NewStoreRequest(effect.Watch, "w", o)}
		case e.ID() == "check":
			result <- "no event"
		case e.Kind() == event.Watched && watching:
			watching = false
			return []effect.Effect{effect.NewUnwatch("w")}
		case e.Kind() == event.Watched:
			result <- "event of an ended watch"
		}
		return nil
	})
	d.Inject(event.NewLocal("do", nil))
	// The queue keeps its order, so all events that the watch has queued come before the check.
	<-f.output
	d.Inject(event.NewLocal("check", nil))
	if got := <-result; got != "no event" {
		t.Error(got)
	}
}

// TestWakes guards against wake times that are lost when an earlier one has passed, and against ticks that come too
// late.
func TestWakes(t *testing.T) {
	zero := time.Unix(0, 0)
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	var w wakeTimes
	var out strings.Builder
	for _, ms := range []int{30, 10, 150, 20, 10} {
		w.add(at(ms))
	}
	for now := 0; now <= 180; now += 15 {
		w.removePast(at(now))
		fmt.Fprintf(&out, "at %d: next at %d of %d\n", now, w.next(at(now+100)).Sub(zero).Milliseconds(), len(w.times))
	}
	goldie.New(t).Assert(t, "wakes", []byte(out.String()))
}

// TestTicksAndWakes guards against ticks that stop or come too early.
func TestTicksAndWakes(t *testing.T) {
	var first time.Time
	wakeAfter := []time.Duration{30 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}
	ticks := make(chan time.Duration, 100)
	startDriver(t, func(now time.Time, e event.Event) (fs []effect.Effect) {
		if e.Kind() != event.Tick || len(ticks) == cap(ticks) {
			return nil
		}
		if first.IsZero() {
			first = now
			for _, w := range wakeAfter {
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

// TestQueueIsBounded guards against messages that are dropped without being counted, and against messages that displace
// other events.
func TestQueueIsBounded(t *testing.T) {
	d := &Driver{now: time.Now, queue: make(chan queuedEvent, queueSize)}
	before := messagesDropped.Count()
	for range messageLimit + 5 {
		d.Inject(event.NewReceived("peer", message.Message{}))
	}
	if got := messagesDropped.Count() - before; got != 5 {
		t.Errorf("%d messages were counted as dropped", got)
	}
	before = eventsDropped.Count()
	for range queueSize - messageLimit + 2 {
		d.Inject(event.NewLinked("peer"))
	}
	if got := eventsDropped.Count() - before; got != 2 {
		t.Errorf("%d other events were counted as dropped", got)
	}
}
