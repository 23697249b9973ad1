package isolator

import (
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
)

// fakeNetwork delivers messages between isolators at once, and drops those to unknown nodes.
type fakeNetwork map[string]*Isolator

// fakeSender sends messages of one isolator through the network.
type fakeSender struct {
	network fakeNetwork
	from    string
}

func (s fakeSender) Send(peer string, m message.Message) {
	if to := s.network[peer]; to != nil {
		to.Handle(s.from, m)
	}
}

// add starts an isolator without its goroutine.
func (n fakeNetwork) add(name string, now func() time.Time) *Isolator {
	i := newIsolator(now)
	i.setUp(machine.Config{Node: name, Incarnation: 1}, fakeSender{n, name})
	n[name] = i
	return i
}

// addMark adds a mark of the call for a crash of another node.
func (i *Isolator) addMark(endpoint string, counter uint64, c call.Call) {
	m := mark.New(mark.Fields{Endpoint: endpoint, Incarnation: 1, Counter: counter, Fingerprint: guard.Fingerprint(c), TimeLeft: guard.MarkLifetime})
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.guard.Merge(i.now(), []mark.Mark{m})
	i.updateCopies(i.now())
}

// TestReady guards against a node that is ready before it has the marks of a relay, and against one that never becomes
// ready if no relay replies.
func TestReady(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	network := fakeNetwork{}
	relay := network.add("n0", clock)
	relay.Publish(roster.New(roster.Fields{LeaseIndex: 0, Gateway: true, Relays: []string{"n0"}}))
	if err := relay.Ready(); err != nil {
		t.Errorf("a relay without others: %v", err)
	}
	bad := call.New(call.Fields{Method: "GET", Path: "/bad"})
	relay.addMark("n7", 1, bad)
	relay.addMark("n8", 1, bad)
	late := newIsolator(clock)
	if late.Ready() == nil {
		t.Error("ready before the start")
	}
	late.Publish(roster.New(roster.Fields{LeaseIndex: -1, Relays: []string{"n0"}}))
	network["n1"] = late
	late.setUp(machine.Config{Node: "n1", Incarnation: 1}, fakeSender{network, "n1"})
	if err := late.Ready(); err != nil {
		t.Errorf("after the relay's answer: %v", err)
	}
	if _, reason := late.Admit(t.Context(), bad); reason != reasonPoison {
		t.Errorf("after the relay's answer the call is refused with %q", reason)
	}
	lost := network.add("n2", clock)
	lost.Publish(roster.New(roster.Fields{LeaseIndex: -1, Relays: []string{"gone"}}))
	unknown := network.add("n3", clock)
	now = now.Add(maxSyncWait - 1)
	if lost.Ready() == nil {
		t.Error("ready without the relay's answer")
	}
	now = now.Add(1)
	if err := lost.Ready(); err != nil {
		t.Errorf("after the wait for a relay: %v", err)
	}
	if unknown.Ready() == nil {
		t.Error("ready without a view of the relays")
	}
	now = now.Add(maxRosterWait - maxSyncWait)
	if err := unknown.Ready(); err != nil {
		t.Errorf("after the wait for a view of the relays: %v", err)
	}
}

// TestWitness guards against a suspect that runs without permission while marks spread, and against one that never runs
// because the witness does not reply.
func TestWitness(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	network := fakeNetwork{}
	a, b := network.add("n0", clock), network.add("n1", clock)
	c := call.New(call.Fields{Method: "GET", Path: "/c", TimeLeft: 1000})
	for _, i := range []*Isolator{a, b} {
		i.addMark("n0", 1, c)
	}
	pass, reason := a.Admit(t.Context(), c)
	if pass.ID() == 0 || reason != "" {
		t.Fatalf("the first run has the number %d and the reason %q", pass.ID(), reason)
	}
	if _, reason := b.Admit(t.Context(), c); reason != reasonSuspect {
		t.Errorf("a run beside the first one has the reason %q", reason)
	}
	a.AfterCall(t.Context(), pass, c, guard.Unsent)
	if pass, reason = b.Admit(t.Context(), c); pass.ID() == 0 || reason != "" {
		t.Errorf("a run after the first one has the reason %q", reason)
	}
	b.AfterCall(t.Context(), pass, c, guard.Unsent)
	orphan := call.New(call.Fields{Method: "GET", Path: "/orphan", TimeLeft: 1000})
	a.addMark("gone", 1, orphan)
	if _, reason := a.Admit(t.Context(), orphan); reason != reasonSuspect {
		t.Errorf("a run right after the crash has the reason %q", reason)
	}
	now = now.Add(guard.MaxSpreadTime)
	if pass, reason = a.Admit(t.Context(), orphan); pass.ID() == 0 || reason != "" {
		t.Errorf("a run after the spread has the reason %q", reason)
	}
}

// TestKinds guards against a message of the crash guard that Handle passes over, and against a message of another part
// that it handles.
func TestKinds(t *testing.T) {
	i := newIsolator(time.Now)
	if !i.Handle("n1", message.New(kindAsk, &askBody{})) {
		t.Error("a message of the crash guard is not handled before the start")
	}
	if i.Handle("n1", message.New("key.reserve", nil)) {
		t.Error("a message of another part is handled")
	}
	for _, kind := range []string{kindAsk, kindPermit, kindReturn} {
		if !strings.HasPrefix(kind, kindPrefix) {
			t.Errorf("kind %s has another prefix", kind)
		}
	}
}

// TestRosterPublisher guards against a data path that does not get new rosters.
func TestRosterPublisher(t *testing.T) {
	r := roster.New(roster.Fields{LeaseIndex: 1})
	effects := rosterPublisher{}.Step(time.Time{}, event.NewLocal(event.Roster, r))
	if len(effects) != 1 || !effects[0].Value().(roster.Roster).Equal(r) {
		t.Errorf("effects are %v", effects)
	}
	if effects := (rosterPublisher{}).Step(time.Time{}, event.NewTick()); effects != nil {
		t.Errorf("effects of a tick are %v", effects)
	}
}
