package balancer

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/router"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
	"wisteriaspoke.example/mesh/verdict"
)

var epoch = time.UnixMilli(1_800_000_000_000)

type trace struct {
	Name      string
	Permille  int
	Verdict   bool
	Endpoints []struct {
		Address, Version, Centre, Region string
		Slots                            int
		State                            endpoint.State
		Age                              int // milliseconds; zero for an hour
	}
	Steps []step
}

type step struct {
	At      int // milliseconds
	Do      string
	Address string
	N       int
	Exclude []string
}

func build(endpoints []endpoint.Endpoint, permille int, vs []verdict.Verdict) *snapshot.Snapshot {
	var s service.Service
	if err := json.Unmarshal([]byte(`{"name":"meldung","version":"v1"}`), &s); err != nil {
		panic(err)
	}
	split := share.Share{}
	if permille > 0 {
		split = share.New("v1", "v2", permille, "r1", 1)
	}
	keep := func(endpoint.Endpoint) *snapshot.Counters { return &snapshot.Counters{} }
	o := snapshot.NewPool(s, split, vs, endpoints, snapshot.Location{DataCentre: "obb-a", Region: "obb"}, keep)
	return snapshot.New(1, "day", router.New(nil), map[string]*snapshot.Pool{"meldung": o})
}

func (c trace) snapshot() *snapshot.Snapshot {
	var es []endpoint.Endpoint
	for _, e := range c.Endpoints {
		f := endpoint.Fields{
			Address: e.Address, Service: "meldung", Version: e.Version, DataCentre: e.Centre, Region: e.Region,
			Slots: e.Slots, State: e.State, Joined: epoch.Add(-time.Duration(e.Age) * time.Millisecond),
		}
		if e.Age == 0 {
			f.Joined = epoch.Add(-time.Hour)
		}
		if f.Slots == 0 {
			f.Slots = 12
		}
		if f.Region == "" {
			f.Region = "obb"
		}
		if f.State == "" {
			f.State = endpoint.Ready
		}
		es = append(es, endpoint.New(f))
	}
	var vs []verdict.Verdict
	if c.Verdict {
		vs = append(vs, verdict.New("meldung", "v2", "r1", "fails"))
	}
	return build(es, c.Permille, vs)
}

func members(s *snapshot.Snapshot) map[string]*snapshot.Member {
	ms := map[string]*snapshot.Member{}
	o := s.Pool("meldung")
	for _, m := range o.Stable().Members() {
		ms[m.Address()] = m
	}
	if o.Candidate() != nil {
		for _, m := range o.Candidate().Members() {
			ms[m.Address()] = m
		}
	}
	return ms
}

// TestTraces guards against a wrong version, tier or endpoint in the cases of testdata/traces.json.
func TestTraces(t *testing.T) {
	data, err := os.ReadFile("testdata/traces.json")
	if err != nil {
		t.Fatal(err)
	}
	var traces []trace
	if err := json.Unmarshal(data, &traces); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for i, c := range traces {
		fmt.Fprintf(&out, "%d. %s\n", i+1, c.Name)
		s := c.snapshot()
		ms := members(s)
		random := rand.New(rand.NewPCG(1, uint64(i))).IntN
		for _, p := range c.Steps {
			fmt.Fprintf(&out, "%6d ms %s\n", p.At, p.run(s, ms, random))
		}
	}
	goldie.New(t).Assert(t, "traces", []byte(out.String()))
}

func (p step) run(s *snapshot.Snapshot, ms map[string]*snapshot.Member, random func(int) int) string {
	now := epoch.Add(time.Duration(p.At) * time.Millisecond)
	n := max(1, p.N)
	if p.Do == "pick" {
		var exclude []*snapshot.Member
		for _, a := range p.Exclude {
			exclude = append(exclude, ms[a])
		}
		picked := map[string]int{}
		for range n {
			if m := Pick(s, "meldung", random, now, exclude); m != nil {
				picked[m.Address()]++
			} else {
				picked["none"]++
			}
		}
		text := "pick"
		if len(p.Exclude) > 0 {
			text += fmt.Sprintf(" without %v", p.Exclude)
		}
		for _, a := range slices.Sorted(maps.Keys(picked)) {
			text += fmt.Sprintf(" %s=%d", a, picked[a])
		}
		return text
	}
	m := ms[p.Address]
	ejected := false
	switch p.Do {
	case "hold":
		m.Counters().BackOff(now.Add(time.Duration(p.N) * time.Millisecond))
	case "leave":
		m.Counters().MarkLeaving(now.Add(time.Duration(p.N) * time.Millisecond))
	case "report":
		m.Counters().RecordLoad(p.N, m.Slots(), now)
	}
	for range n {
		switch p.Do {
		case "begin":
			m.Counters().Begin()
		case "end":
			m.Counters().End()
		case "succeed":
			m.Counters().RecordSuccess()
		case "fail":
			ejected = RecordFailure(m, now) || ejected
		}
	}
	text := fmt.Sprintf("%s %s %d", p.Do, p.Address, n)
	if p.Do == "fail" {
		text += fmt.Sprintf(" ejected=%v", ejected)
	}
	return text
}

func fleet(n int) *snapshot.Snapshot {
	var es []endpoint.Endpoint
	for i := range n {
		centre := fmt.Sprintf("obb-%c", 'a'+i%10)
		region := []string{"obb", "mfr"}[i%2]
		es = append(es, endpoint.New(endpoint.Fields{
			Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), Service: "meldung", Version: "v1", DataCentre: centre, Region: region,
			Slots: 12, State: endpoint.Ready, Joined: epoch.Add(-time.Hour),
		}))
	}
	return build(es, 0, nil)
}

// TestPickAllocates guards against allocations by each call.
func TestPickAllocates(t *testing.T) {
	s := fleet(18)
	random := rand.New(rand.NewPCG(1, 2)).IntN
	exclude := []*snapshot.Member{s.Pool("meldung").Stable().Members()[0]}
	if n := testing.AllocsPerRun(100, func() { Pick(s, "meldung", random, epoch, exclude) }); n != 0 {
		t.Errorf("Pick allocates %v times", n)
	}
}

// BenchmarkPick runs with the size of today's largest set and with the whole target fleet in one service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 8600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := fleet(n)
			random := rand.New(rand.NewPCG(1, 2)).IntN
			b.ReportAllocs()
			for b.Loop() {
				if Pick(s, "meldung", random, epoch, nil) == nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
