package linker

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The server's cleanup goroutine sees a stop only after it has slept for 10 s, and cannot be waited for.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		// fasthttp keeps one goroutine for the Date header in every process that has served a request.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// testMessage is the body of the messages that the tests send.
type testMessage struct {
	Text string `cbor:"1,keyasint"`
}

func init() {
	encoder.Register("note", func() any { return new(testMessage) })
	kernel.Register("fake", 1, func() kernel.Part { return &fake{events: make(chan event.Event, 1024)} })
}

// fake replaces the parts that the linker needs.
type fake struct {
	serve  func(context.Context, call.Call) answer.Answer
	events chan event.Event
	region string
}

func (f *fake) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }
func (f *fake) Config() machine.Config {
	return machine.Config{Node: "127.0.0.1:0", Region: f.region}
}
func (f *fake) Inject(e event.Event) { f.events <- e }
func (f *fake) Serve(ctx context.Context, c call.Call) answer.Answer {
	return f.serve(ctx, c)
}

// echo answers with the body of the call.
func echo(_ context.Context, c call.Call) answer.Answer {
	return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: c.Body()})
}

// node is a started linker with its fake parts.
type node struct {
	*Linker
	*fake
	stop func() error
}

func newNode(t testing.TB, settings ...func(*Linker, *fake)) *node {
	t.Helper()
	k := kernel.New()
	k.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	l := need[*Linker](t, k)
	f := need[*fake](t, k)
	f.serve = echo
	l.Listen, l.LinkToken, l.LinkCalls = "127.0.0.1:0", "secret", 1024
	for _, set := range settings {
		set(l, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end, err := l.Start(ctx, k)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	stopped := false
	stop := func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		return <-end
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Errorf("linker ended with %v", err)
		}
	})
	return &node{Linker: l, fake: f, stop: stop}
}

func need[T any](t testing.TB, k *kernel.Kernel) T {
	t.Helper()
	v, err := kernel.Need[T](k)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func withServe(serve func(context.Context, call.Call) answer.Answer) func(*Linker, *fake) {
	return func(_ *Linker, f *fake) { f.serve = serve }
}

func newCall(body string) call.Call {
	return call.New(call.Fields{ID: 7, Method: "POST", Path: "/", Body: []byte(body)})
}

// awaitEvent returns the next event of the kind.
func (n *node) awaitEvent(k event.Kind) event.Event {
	for {
		if e := <-n.events; e.Kind() == k {
			return e
		}
	}
}

// TestCheck guards against bad settings that are accepted, or refused without a remedy.
func TestCheck(t *testing.T) {
	err := errors.Join((&Linker{Listen: "host", LinkCert: "file"}).Check(), (&Linker{LinkToken: "secret", LinkCalls: 1}).Check())
	goldie.New(t).Assert(t, "check", []byte(err.Error()))
}
