package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/route"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func read(t *testing.T, file string, v any) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		t.Fatal(err)
	}
}

// TestQueue guards against a wrong order, a wrong refusal, and the displacement of the wrong call.
func TestQueue(t *testing.T) {
	var cases []struct {
		Name                 string
		Size, Limit, Service int
		Steps                []struct {
			At, Pop, Deadline    int
			Push, Remove, Tenant string
			Class                route.Class
		}
	}
	read(t, "testdata/queue.json", &cases)
	var out strings.Builder
	for i, c := range cases {
		fmt.Fprintf(&out, "%d. %s\n", i+1, c.Name)
		q := queue{capacity: c.Size}
		named := map[string]*ticket{}
		name := func(t *ticket) string {
			for n, k := range named {
				if k == t {
					return n
				}
			}
			return "none"
		}
		for _, s := range c.Steps {
			switch {
			case s.Push != "":
				k := &ticket{tenant: s.Tenant, class: s.Class, deadline: at(s.Deadline)}
				if s.Deadline == 0 {
					k.deadline = at(100_000)
				}
				named[s.Push] = k
				displaced, refusal := q.push(k, at(s.At), time.Duration(c.Service)*time.Millisecond, c.Limit)
				fmt.Fprintf(&out, "  push %s %s: %q", s.Push, s.Tenant, refusal)
				if displaced != nil {
					fmt.Fprintf(&out, " displaces %s", name(displaced))
				}
			case s.Remove != "":
				fmt.Fprintf(&out, "  remove %s: %v", s.Remove, q.remove(named[s.Remove]))
			default:
				fmt.Fprintf(&out, "  pop")
				for range s.Pop {
					next, late := q.pop(at(s.At))
					for _, k := range late {
						fmt.Fprintf(&out, " late:%s", name(k))
					}
					fmt.Fprintf(&out, " %s", name(next))
				}
			}
			fmt.Fprintf(&out, " (%d waiting)\n", q.length)
		}
	}
	goldie.New(t).Assert(t, "queue", []byte(out.String()))
}

// TestGradient guards against a limit that does not follow the latency, or that never recovers.
func TestGradient(t *testing.T) {
	var cases []struct {
		Name    string
		Slots   int
		Windows []struct{ Mean, Peak, N int }
	}
	read(t, "testdata/gradient.json", &cases)
	var out strings.Builder
	for i, c := range cases {
		fmt.Fprintf(&out, "%d. %s\n", i+1, c.Name)
		g := gradient{limit: c.Slots}
		for _, w := range c.Windows {
			fmt.Fprintf(&out, "  mean %d ms, peak %d:", w.Mean, w.Peak)
			for range max(1, w.N) {
				g = g.next(time.Duration(w.Mean)*time.Millisecond, w.Peak, c.Slots)
				fmt.Fprintf(&out, " %d", g.limit)
				if g.limit < 1 || g.limit > c.Slots {
					t.Errorf("%s: the limit is %d", c.Name, g.limit)
				}
			}
			out.WriteString("\n")
		}
	}
	goldie.New(t).Assert(t, "gradient", []byte(out.String()))
}

// load sends one call of a tenant and class in each interval and counts the results.
type load struct {
	tenant   string
	class    route.Class
	interval time.Duration
	served   int
	refused  map[Refusal]int
}

// runLoads runs the loads for 10 s of virtual time against a limiter of 12 slots, with calls of 60 ms; its capacity is
// 200 calls a second.
func runLoads(t *testing.T, loads ...*load) {
	synctest.Test(t, func(t *testing.T) {
		l := New(12)
		var group sync.WaitGroup
		var mutex sync.Mutex
		var peak atomic.Int32
		end := time.Now().Add(10 * time.Second)
		for _, o := range loads {
			o.refused = map[Refusal]int{}
			group.Go(func() {
				for ; time.Now().Before(end); time.Sleep(o.interval) {
					group.Go(func() {
						r := l.Acquire(context.Background(), Request{Tenant: o.tenant, Class: o.class, Deadline: time.Now().Add(300 * time.Millisecond)})
						if r == "" {
							peak.Store(max(peak.Load(), l.running.Load()))
							time.Sleep(60 * time.Millisecond)
							l.Release("all", 60*time.Millisecond, true)
						}
						mutex.Lock()
						defer mutex.Unlock()
						if r == "" {
							o.served++
						} else {
							o.refused[r]++
						}
					})
				}
			})
		}
		group.Wait()
		if l.Outstanding() != 0 || l.queue.length != 0 {
			t.Errorf("%d calls are left, %d in the queue", l.Outstanding(), l.queue.length)
		}
		if peak.Load() > 12 {
			t.Errorf("%d calls ran at once", peak.Load())
		}
	})
}

func (o *load) offered() int {
	n := o.served
	for _, r := range o.refused {
		n += r
	}
	return n
}

// TestOverload guards against refused calls of the high class at twice the capacity, and against slots that stay
// free meanwhile.
func TestOverload(t *testing.T) {
	high := &load{tenant: "a", class: route.High, interval: 10 * time.Millisecond}
	normal := &load{tenant: "a", class: route.Normal, interval: time.Second / 300}
	runLoads(t, high, normal)
	t.Logf("high %d of %d, normal %d of %d", high.served, high.offered(), normal.served, normal.offered())
	if high.served != high.offered() {
		t.Errorf("%v of %d high calls are refused", high.refused, high.offered())
	}
	if n := high.served + normal.served; n < 1950 {
		t.Errorf("%d calls were served, the capacity is 2,000", n)
	}
}

// TestFairness guards against a tenant whose calls are refused while another one floods the endpoint.
func TestFairness(t *testing.T) {
	flood := &load{tenant: "a", class: route.Normal, interval: time.Millisecond}
	other := &load{tenant: "b", class: route.Normal, interval: 20 * time.Millisecond}
	runLoads(t, flood, other)
	t.Logf("flood %d of %d, other %d of %d", flood.served, flood.offered(), other.served, other.offered())
	if other.served != other.offered() {
		t.Errorf("%v of %d calls of the quiet tenant are refused", other.refused, other.offered())
	}
}

// TestConcurrentSlots guards against a slot that is lost or used twice when calls end, wait and are cancelled at the
// same time.
func TestConcurrentSlots(t *testing.T) {
	l := New(3)
	var running, peak atomic.Int32
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for k := range 300 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+k)%3 == 0 {
					go cancel()
				}
				c := route.Normal
				if k%2 == 0 {
					c = route.High
				}
				r := l.Acquire(ctx, Request{Tenant: fmt.Sprint(i % 4), Class: c, Deadline: time.Now().Add(time.Minute)})
				if r == "" {
					n := running.Add(1)
					for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
					}
					running.Add(-1)
					l.Release("all", time.Microsecond, k%5 > 0)
				}
				cancel()
			}
		})
	}
	group.Wait()
	if peak.Load() > 3 {
		t.Errorf("%d calls ran at once", peak.Load())
	}
	if l.running.Load() != 0 || l.waiting.Load() != 0 || l.queue.length != 0 {
		t.Errorf("%d run, %d wait, %d in the queue", l.running.Load(), l.waiting.Load(), l.queue.length)
	}
	l.Leave()
	<-l.Drained()
}

// TestRouteMix guards against a limit that shrinks because calls of a slower route, or fast errors, begin or end.
func TestRouteMix(t *testing.T) {
	l := New(12)
	windows := func(route string, took time.Duration, measured bool) {
		for range 10 * windowCalls {
			for range 12 {
				if l.Acquire(t.Context(), Request{Route: route, Deadline: time.Now().Add(time.Minute)}) != "" {
					t.Fatal("no free slot")
				}
			}
			for range 12 {
				l.Release(route, took, measured)
			}
		}
	}
	windows("read", time.Millisecond, true)
	windows("upload", 500*time.Millisecond, true)
	windows("read", time.Microsecond, false)
	windows("read", time.Millisecond, true)
	if n := l.Limit(); n != 12 {
		t.Errorf("the limit is %d", n)
	}
	if l.Acquire(t.Context(), Request{Route: "read", Deadline: time.Now().Add(time.Minute)}) != "" {
		t.Fatal("no free slot")
	}
	for range windowCalls {
		l.raisePeak(12)
		l.running.Add(1)
		l.Release("read", time.Second, true)
	}
	if n := l.Limit(); n >= 12 {
		t.Errorf("the limit is %d after a slow window", n)
	}
}
