package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
	"wisteriaspoke.example/mesh/verdict"
)

func configuration(t testing.TB, version uint64, split share.Share, names ...string) config.Config {
	t.Helper()
	services := map[string]service.Service{}
	shares := map[string]share.Share{}
	for _, n := range names {
		var s service.Service
		text := fmt.Sprintf(`{"name":%q,"version":"v1","routes":[{"name":"all","host":"%s.example","path":"/"}]}`, n, n)
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			t.Fatal(err)
		}
		services[n] = s
		shares[n] = split
	}
	return config.New(version, "day", services, shares)
}

func endpoints(centre string, epoch, sequence uint64, addresses ...string) group.Group {
	var es []endpoint.Endpoint
	for _, a := range addresses {
		es = append(es, endpoint.New(endpoint.Fields{
			Address: a, Service: "meldung", Version: "v1", DataCentre: centre, Region: "obb", Slots: 12, State: endpoint.Ready,
			Incarnation: 1, Joined: time.UnixMilli(1),
		}))
	}
	return group.New(centre, "meldung", epoch, sequence, es)
}

func newPublisher() *Publisher { return New(snapshot.Location{DataCentre: "obb-a", Region: "obb"}) }

// TestVersions guards against a return to an older configuration and a route without its service.
func TestVersions(t *testing.T) {
	p := newPublisher()
	if p.Snapshot() != nil || fault.KindOf(p.Ready()) != fault.Unavailable {
		t.Error("ready before the first configuration")
	}
	p.Publish(endpoints("obb-a", 1, 1, "a"))
	if p.Ready() == nil {
		t.Error("ready with endpoints alone")
	}
	p.Publish(configuration(t, 1, share.Share{}, "meldung"))
	if p.Ready() == nil {
		t.Error("ready before all endpoints were published")
	}
	p.Publish(group.Complete{})
	header := func(string) string { return "" }
	for _, c := range []struct {
		version uint64
		names   []string
		want    uint64
	}{
		{5, []string{"meldung"}, 5},
		{4, []string{"meldung", "ergebnis"}, 5},
		{5, []string{"ergebnis"}, 5},
		{6, []string{"meldung", "ergebnis"}, 6},
		{7, []string{"ergebnis"}, 7},
	} {
		p.Publish(configuration(t, c.version, share.Share{}, c.names...))
		s := p.Snapshot()
		if s.Version() != c.want || p.Ready() != nil {
			t.Fatalf("version %d is in force after %d", s.Version(), c.version)
		}
		for _, n := range []string{"meldung", "ergebnis"} {
			_, _, routed := s.Routes().Match(n+".example", "/", "GET", header)
			if routed != (s.Pool(n) != nil) {
				t.Errorf("version %d, %s: routed is %v", c.version, n, routed)
			}
		}
	}
	p.Publish("something else")
	if p.Snapshot().Version() != 7 {
		t.Error("an unknown value changed the version")
	}
}

// TestGroups guards against an older set of endpoints that replaces a newer one, and counters lost in a rebuild.
func TestGroups(t *testing.T) {
	p := newPublisher()
	p.Publish(endpoints("obb-a", 2, 5, "a", "b"))
	p.Publish(configuration(t, 1, share.Share{}, "meldung", "ergebnis"))
	members := func() []*snapshot.Member { return p.Snapshot().Pool("meldung").Stable().Members() }
	before := p.Snapshot()
	members()[0].Counters().Begin()
	p.Publish(endpoints("obb-a", 1, 9, "old"))
	p.Publish(endpoints("obb-a", 2, 5, "old"))
	if ms := members(); len(ms) != 2 || ms[0].Address() != "a" {
		t.Errorf("an older set is in force")
	}
	p.Publish(endpoints("obb-b", 1, 1, "c"))
	p.Publish(endpoints("obb-a", 2, 6, "a"))
	p.Publish(configuration(t, 2, share.Share{}, "meldung"))
	ms := members()
	if len(ms) != 2 || ms[0].Address() != "a" || ms[1].Address() != "c" || ms[1].Tier() != snapshot.SameRegion {
		t.Errorf("%d endpoints", len(ms))
	}
	if ms[0].Counters().Outstanding() != 1 {
		t.Error("an outstanding call is not counted after a rebuild")
	}
	if len(before.Pool("meldung").Stable().Members()) != 2 || before.Version() != 1 {
		t.Error("a snapshot in use has changed")
	}
	again := endpoint.New(endpoint.Fields{Address: "a", Service: "meldung", Version: "v1", DataCentre: "obb-a", State: endpoint.Ready, Incarnation: 2})
	p.Publish(group.New("obb-a", "meldung", 2, 7, []endpoint.Endpoint{again}))
	if members()[0].Counters().Outstanding() != 0 {
		t.Error("a restarted endpoint has the counters of its predecessor")
	}
}

// TestDeparture guards against calls to an endpoint that left while its data centre had no owner: the second relay then
// publishes the departure in the current set, under the same epoch and sequence.
func TestDeparture(t *testing.T) {
	p := newPublisher()
	p.Publish(configuration(t, 1, share.Share{}, "meldung"))
	p.Publish(endpoints("obb-a", 2, 5, "a", "b"))
	es := slices.Clone(endpoints("obb-a", 2, 5, "a", "b").Endpoints())
	es[0] = es[0].WithState(endpoint.Leaving)
	p.Publish(group.New("obb-a", "meldung", 2, 5, es))
	p.Publish(endpoints("obb-a", 2, 5, "a", "b"))
	for _, m := range p.Snapshot().Pool("meldung").Stable().Members() {
		if m.Address() == "a" && m.Endpoint().State() != endpoint.Leaving {
			t.Errorf("%s is %s, want leaving", m.Address(), m.Endpoint().State())
		}
	}
}

// TestVerdicts guards against calls to a bad version, regardless of whether the verdict or the configuration arrives
// first, and against a verdict that applies after its rollout.
func TestVerdicts(t *testing.T) {
	bad := verdict.New("meldung", "v2", "r1", "fails")
	first := share.New("v1", "v2", 500, "r1", 1)
	second := share.New("v1", "v2", 50, "r2", 2)
	p := newPublisher()
	permille := func() int { return p.Snapshot().Pool("meldung").CandidatePermille() }
	p.Publish(bad)
	for i, c := range []struct {
		value any
		want  int
	}{
		{configuration(t, 1, first, "meldung"), 0},
		{configuration(t, 2, share.New("v1", "v2", 1000, "r1", 1), "meldung"), 0},
		{endpoints("obb-a", 1, 1, "a"), 0},
		{configuration(t, 3, share.Share{}, "meldung"), 0},
		{configuration(t, 4, first, "meldung"), 0},
		{configuration(t, 5, second, "meldung"), 50},
		{verdict.New("meldung", "v3", "r2", "of another version"), 50},
		{verdict.New("meldung", "v2", "r2", "fails again"), 0},
	} {
		p.Publish(c.value)
		if got := permille(); got != c.want {
			t.Errorf("step %d: the share is %d, want %d", i+1, got, c.want)
		}
	}
}

// TestConcurrentReaders guards against a snapshot that changes while calls use it, or a return to an older version.
func TestConcurrentReaders(t *testing.T) {
	p := newPublisher()
	p.Publish(configuration(t, 1, share.Share{}, "meldung"))
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			var last uint64
			for {
				select {
				case <-stop:
					return
				default:
				}
				s := p.Snapshot()
				if s.Version() < last {
					t.Errorf("version %d after %d", s.Version(), last)
				}
				last = s.Version()
				for _, m := range s.Pool("meldung").Stable().Members() {
					m.Counters().Begin()
					m.Counters().End()
				}
			}
		})
	}
	for i := range uint64(200) {
		p.Publish(configuration(t, i+2, share.Share{}, "meldung"))
		p.Publish(endpoints("obb-a", 1, i+1, "a", fmt.Sprint(i)))
	}
	close(stop)
	readers.Wait()
}

// BenchmarkPublish measures the rebuild after a change of one set of endpoints at the target's size.
func BenchmarkPublish(b *testing.B) {
	p := newPublisher()
	var names []string
	for i := range 479 {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	p.Publish(configuration(b, 1, share.Share{}, append(names, "meldung")...))
	var addresses []string
	for i := range 18 {
		addresses = append(addresses, fmt.Sprint(i))
	}
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		p.Publish(endpoints("obb-a", 1, sequence, addresses...))
	}
}
