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

// links carries messages between isolators at once, and loses those to unknown nodes.
type links map[string]*Isolator

type sending struct {
	links links
	from  string
}

func (s sending) Send(peer string, m message.Message) {
	if to := s.links[peer]; to != nil {
		to.Handle(s.from, m)
	}
}

func (l links) add(name string, now func() time.Time) *Isolator {
	i := newIsolator(now)
	i.open(machine.Config{Node: name, Incarnation: 1}, sending{l, name})
	l[name] = i
	return i
}

func (i *Isolator) hear(endpoint string, counter uint64, c call.Call) {
	m := mark.New(mark.Fields{Endpoint: endpoint, Incarnation: 1, Counter: counter, Fingerprint: guard.Fingerprint(c), TimeLeft: guard.MarkLifetime})
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.guard.Merge(i.now(), []mark.Mark{m})
	i.copy(i.now())
}

// TestReady guards against a node that takes calls before it knows the marks, and one that never does without a relay.
func TestReady(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	l := links{}
	relay := l.add("n0", clock)
	relay.Publish(roster.New(roster.Fields{LeaseIndex: 0, Gateway: true, Relays: []string{"n0"}}))
	if err := relay.Ready(); err != nil {
		t.Errorf("a relay without others: %v", err)
	}
	bad := call.New(call.Fields{Method: "GET", Path: "/bad"})
	relay.hear("n7", 1, bad)
	relay.hear("n8", 1, bad)
	late := newIsolator(clock)
	if late.Ready() == nil {
		t.Error("ready before the start")
	}
	late.Publish(roster.New(roster.Fields{LeaseIndex: -1, Relays: []string{"n0"}}))
	l["n1"] = late
	late.open(machine.Config{Node: "n1", Incarnation: 1}, sending{l, "n1"})
	if err := late.Ready(); err != nil {
		t.Errorf("after the relay's answer: %v", err)
	}
	if _, reason := late.Admit(t.Context(), bad); reason != reasonPoison {
		t.Errorf("after the relay's answer the call is refused with %q", reason)
	}
	lost := l.add("n2", clock)
	lost.Publish(roster.New(roster.Fields{LeaseIndex: -1, Relays: []string{"gone"}}))
	unknown := l.add("n3", clock)
	now = now.Add(syncLimit - 1)
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
	now = now.Add(rosterLimit - syncLimit)
	if err := unknown.Ready(); err != nil {
		t.Errorf("after the wait for a view of the relays: %v", err)
	}
}

// TestWitness guards against a suspect that runs without permission while marks spread, and against one that never runs
// because the witness is gone.
func TestWitness(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	l := links{}
	a, b := l.add("n0", clock), l.add("n1", clock)
	c := call.New(call.Fields{Method: "GET", Path: "/c", TimeLeft: 1000})
	for _, i := range []*Isolator{a, b} {
		i.hear("n0", 1, c)
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
	a.hear("gone", 1, orphan)
	if _, reason := a.Admit(t.Context(), orphan); reason != reasonSuspect {
		t.Errorf("a run right after the crash has the reason %q", reason)
	}
	now = now.Add(guard.MaxSpreadTime)
	if pass, reason = a.Admit(t.Context(), orphan); pass.ID() == 0 || reason != "" {
		t.Errorf("a run after the spread has the reason %q", reason)
	}
}

// TestKinds guards against a message of the crash guard that is taken for another part's, and the reverse.
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

// TestTap guards against a data path that does not learn of new relays.
func TestTap(t *testing.T) {
	r := roster.New(roster.Fields{LeaseIndex: 1})
	effects := tap{}.Step(time.Time{}, event.NewLocal(event.Roster, r))
	if len(effects) != 1 || !effects[0].Value().(roster.Roster).Equal(r) {
		t.Errorf("effects are %v", effects)
	}
	if effects := (tap{}).Step(time.Time{}, event.NewTick()); effects != nil {
		t.Errorf("effects of a tick are %v", effects)
	}
}
