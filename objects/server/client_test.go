package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/objectclient"
)

// testTimeout is long enough that only a test that hangs reaches it.
const testTimeout = 30 * time.Second

// newClient returns a started client of the store at the URL.
func newClient(t *testing.T, url string, timeout time.Duration) *objectclient.Client {
	c := &objectclient.Client{Store: url, StoreTimeout: timeout}
	ctx, cancel := context.WithCancel(t.Context())
	end, err := c.Start(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-end
	})
	return c
}

// newHead returns an object of the plural "heads" whose value is the string in JSON.
func newHead(name, revision, spec string) object.Object {
	return object.New("heads", name, revision, []byte(strconv.Quote(spec)))
}

// recorder makes the calls of one case and records their outcomes for its golden file.
type recorder struct {
	client *objectclient.Client
	lines  []string
}

func (r *recorder) record(call string, o object.Object, err error) {
	line := call + ":"
	if o.Name() != "" {
		line += fmt.Sprintf(" %s at %s is %s", o.Name(), o.Revision(), o.Spec())
	}
	if err != nil {
		line += " " + string(fault.KindOf(err))
	}
	r.lines = append(r.lines, line)
}

func (r *recorder) get(t *testing.T, name string) {
	o, err := r.client.Get(t.Context(), "heads", name)
	r.record("get "+name, o, err)
}

func (r *recorder) create(t *testing.T, name, spec string) object.Object {
	o, err := r.client.Create(t.Context(), newHead(name, "", spec))
	r.record("create "+name, o, err)
	return o
}

func (r *recorder) update(t *testing.T, name, revision, spec string) {
	o, err := r.client.Update(t.Context(), newHead(name, revision, spec))
	r.record("update "+name+" at "+revision, o, err)
}

func (r *recorder) delete(t *testing.T, name, revision string) {
	r.record("delete "+name+" at "+revision, object.Object{}, r.client.Delete(t.Context(), newHead(name, revision, "")))
}

func (r *recorder) watch(t *testing.T, revision string) {
	err := r.client.Watch(t.Context(), "heads", "", revision, func(event.Change, object.Object) {})
	r.record("watch from "+revision, object.Object{}, err)
}

// TestClientFaults guards against a fault kind that would make a caller retry a write that took effect, or give up on
// one that did not.
func TestClientFaults(t *testing.T) {
	cases := []struct {
		name    string
		rate    int
		timeout time.Duration
		run     func(t *testing.T, s *Server, r *recorder)
	}{
		{"client-writes", 100, testTimeout, func(t *testing.T, _ *Server, r *recorder) {
			r.get(t, "a")
			r.create(t, "a", "1")
			r.create(t, "a", "2")
			r.update(t, "a", "1", "<2>")
			r.update(t, "a", "1", "3")
			r.update(t, "a", "", "3")
			r.update(t, "b", "1", "3")
			r.get(t, "a")
			r.delete(t, "a", "1")
			r.delete(t, "a", "2")
			r.delete(t, "a", "")
			r.create(t, "Upper", "1")
			r.create(t, "large", strings.Repeat("x", 1<<20))
		}},
		{"client-lost-answers", 100, testTimeout, func(t *testing.T, s *Server, r *recorder) {
			s.faults.SetFaults(0, false, 3)
			r.create(t, "a", "1")
			r.get(t, "a")
			r.update(t, "a", "1", "2")
			r.get(t, "a")
			r.delete(t, "a", "2")
			r.get(t, "a")
			r.create(t, "a", "4")
		}},
		{"client-outage", 100, testTimeout, func(t *testing.T, s *Server, r *recorder) {
			r.create(t, "a", "1")
			s.faults.SetFaults(0, true, 0)
			r.get(t, "a")
			r.update(t, "a", "1", "2")
			r.watch(t, "1")
			s.faults.SetFaults(0, false, 0)
			r.get(t, "a")
		}},
		{"client-slow", 100, 500 * time.Millisecond, func(t *testing.T, s *Server, r *recorder) {
			s.faults.SetFaults(time.Hour, false, 0)
			r.get(t, "a")
			r.create(t, "a", "1")
			r.watch(t, "")
			changes, err := s.storage.Watch("heads", "", "0")
			if err != nil {
				t.Fatal(err)
			}
			s.stopOnce.Do(func() { close(s.stopping) }) // ends the delays
			c, err := changes.Next(t.Context())
			r.record("stored in the end", c.Object(), err)
		}},
		{"client-throttled", 1, testTimeout, func(t *testing.T, _ *Server, r *recorder) {
			r.create(t, "a", "1")
			r.create(t, "b", "1")
			r.get(t, "a")
			r.watch(t, "1")
		}},
		{"client-gone", 100, testTimeout, func(t *testing.T, _ *Server, r *recorder) {
			for i := range 6 {
				r.create(t, strconv.Itoa(i), "")
			}
			r.watch(t, "1")
			r.watch(t, "7")
		}},
		{"client-denied", 100, testTimeout, func(t *testing.T, s *Server, r *recorder) {
			s.Token = "secret"
			r.get(t, "a")
			r.create(t, "a", "1")
			r.watch(t, "")
			r.client.StoreToken = "secret"
			r.create(t, "a", "1")
		}},
		{"client-unreachable", 100, testTimeout, func(t *testing.T, _ *Server, r *recorder) {
			r.client.Store = "http://" + closedPort(t)
			r.get(t, "a")
			r.create(t, "a", "1")
			r.update(t, "a", "1", "2")
			r.delete(t, "a", "")
			r.watch(t, "")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, url := startServer(t, 4, c.rate)
			r := &recorder{client: newClient(t, url, c.timeout)}
			c.run(t, s, r)
			goldie.New(t).Assert(t, c.name, []byte(strings.Join(r.lines, "\n")+"\n"))
		})
	}
}

// closedPort returns an address on which nothing listens.
func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestWatchOrder guards against a watch that misses, repeats or reorders changes while many clients write.
func TestWatchOrder(t *testing.T) {
	const writers, writes = 8, 25
	const last = writers*writes + 1
	_, url := startServer(t, last, last)
	c := newClient(t, url, testTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	first, err := c.Create(ctx, newHead("first", "", "0"))
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			o, err := c.Create(ctx, newHead("w"+strconv.Itoa(i), "", "0"))
			for range writes - 1 {
				if err != nil {
					t.Error(err)
					return
				}
				o, err = c.Update(ctx, o)
			}
		})
	}
	var seen []string
	err = c.Watch(ctx, "heads", "", first.Revision(), func(_ event.Change, o object.Object) {
		seen = append(seen, o.Revision())
		if o.Revision() == strconv.Itoa(last) {
			cancel()
		}
	})
	wg.Wait()
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("the watch ended with %v", err)
	}
	var want []string
	for i := range writers * writes {
		want = append(want, strconv.Itoa(i+2))
	}
	if !slices.Equal(seen, want) {
		t.Errorf("the watch saw %v", seen)
	}
}

// TestWatchEnds guards against a watch that continues after an outage or a planned stop has begun, and against a
// planned stop that looks like a broken connection to the client.
func TestWatchEnds(t *testing.T) {
	cases := []struct {
		name   string
		end    func(s *Server)
		broken bool // the connection is closed in the middle of the response
	}{
		{"outage", func(s *Server) { s.faults.SetFaults(0, true, 0) }, true},
		{"stop", func(s *Server) { s.stopOnce.Do(func() { close(s.stopping) }) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, url := startServer(t, 4, 100)
			client := newClient(t, url, testTimeout)
			if _, err := client.Create(t.Context(), newHead("a", "", "1")); err != nil {
				t.Fatal(err)
			}
			err := client.Watch(t.Context(), "heads", "", "", func(event.Change, object.Object) { c.end(s) })
			if fault.KindOf(err) != fault.Unavailable {
				t.Fatalf("the watch ended with %v, want %s", err, fault.Unavailable)
			}
			if broken := errors.Is(err, io.ErrUnexpectedEOF); broken != c.broken {
				t.Errorf("the watch ended with %v, broken connection %v, want %v", err, broken, c.broken)
			}
		})
	}
}
