package registrar_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/notice"
	"wisteriaspoke.example/mesh/registrar"
	"wisteriaspoke.example/mesh/registrar/scenario"
)

// model is the test oracle: it tracks what the sets should contain once the fleet has settled.
type model struct {
	fleet       *scenario.Fleet
	dead        map[string]bool
	leaving     map[string]bool
	paused      map[string]bool
	partitioned bool
	late        []func() // announcements still in flight
}

func newModel(seed uint64, shape scenario.Config, build func(machine.Config) *controller.Controller) *model {
	m := &model{
		fleet: scenario.New(seed, shape, build),
		dead:  map[string]bool{}, leaving: map[string]bool{}, paused: map[string]bool{},
	}
	m.fleet.Simulator().Partitioned = func(from, to string) bool {
		return m.partitioned && (from == "r1") != (to == "r1")
	}
	m.fleet.Simulator().Run(settle)
	return m
}

// kill ends a node and keeps its last announcement for late delivery.
func (m *model) kill(n string) {
	if m.dead[n] {
		return
	}
	if e, known := m.fleet.Endpoint(n, n); known {
		late := event.NewReceived(n, message.New(notice.KindAnnouncement, notice.NewAnnouncement(e, 2)))
		dc := m.fleet.Simulator().Config(n).DataCentre
		m.late = append(m.late, func() {
			for i := range 2 {
				if h := m.fleet.LeaseHolder(dc, i); h != "" {
					m.fleet.Simulator().Inject(h, late)
				}
			}
		})
	}
	m.fleet.Kill(n)
	m.dead[n] = true
	delete(m.paused, n)
	delete(m.leaving, n)
}

func (m *model) restart(n string) {
	if m.dead[n] {
		m.fleet.Restart(n)
		delete(m.dead, n)
	}
}

func (m *model) leave(n string) {
	if !m.dead[n] {
		m.fleet.Leave(n)
		m.leaving[n] = true
	}
}

func (m *model) pause(n string) {
	if !m.dead[n] && !m.paused[n] {
		m.fleet.Pause(n)
		m.paused[n] = true
	}
}

func (m *model) resume(n string) {
	if m.paused[n] {
		m.fleet.Resume(n)
		delete(m.paused, n)
	}
}

// deliverLate delivers the announcements that are still in flight.
func (m *model) deliverLate() {
	for _, f := range m.late {
		f()
	}
	m.late = nil
}

// settle ends all faults, restarts dead nodes, waits until the fleet is stable and returns what is wrong.
func (m *model) settle() []string {
	m.partitioned = false
	m.fleet.Simulator().Store().SetUnavailable(false)
	for _, n := range slices.Sorted(maps.Keys(m.paused)) {
		m.resume(n)
	}
	for _, n := range slices.Sorted(maps.Keys(m.dead)) {
		m.restart(n)
	}
	m.fleet.Simulator().Run(15 * time.Second)
	m.deliverLate()
	m.fleet.Simulator().Run(10 * time.Second)
	wrong := slices.Clone(m.fleet.Violations())
	want := map[string]uint64{}
	for _, n := range m.fleet.Simulator().Nodes() {
		if !m.leaving[n] {
			want[n] = m.fleet.Simulator().Config(n).Incarnation
		}
	}
	for _, n := range m.fleet.Simulator().Nodes() {
		wrong = append(wrong, difference(n, m.fleet.ReadyEndpoints(n), want)...)
	}
	return wrong
}

// difference describes how the ready endpoints that a node sees differ from the expected ones.
func difference(node string, got, want map[string]uint64) []string {
	var words []string
	for _, a := range slices.Sorted(maps.Keys(want)) {
		if got[a] != want[a] {
			words = append(words, fmt.Sprintf("%s sees %s in incarnation %d, want %d", node, a, got[a], want[a]))
		}
	}
	for _, a := range slices.Sorted(maps.Keys(got)) {
		if _, ok := want[a]; !ok {
			words = append(words, fmt.Sprintf("%s sees %s, which is not ready", node, a))
		}
	}
	return words
}

// smallFleet is small enough for many runs and has every role.
var smallFleet = scenario.Config{Regions: 2, Nodes: 20, Services: 1}

// Guards against combinations of failures that no other test covers.
func TestRandomMixes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), smallFleet, nil)
		nodes := m.fleet.Simulator().Nodes()
		node := rapid.SampledFrom(nodes)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"kill", "restart", "leave", "freeze", "thaw", "cut", "store", "late"}).Draw(t, "fault") {
			case "kill":
				m.kill(node.Draw(t, "node"))
			case "restart":
				m.restart(node.Draw(t, "node"))
			case "leave":
				m.leave(node.Draw(t, "node"))
			case "freeze":
				m.pause(node.Draw(t, "node"))
			case "thaw":
				m.resume(node.Draw(t, "node"))
			case "cut":
				m.partitioned = !m.partitioned
			case "store":
				m.fleet.Simulator().Store().SetUnavailable(!m.fleet.Simulator().Store().Unavailable)
			case "late":
				m.deliverLate()
			}
			m.fleet.Simulator().Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		for _, w := range m.settle() {
			t.Error(w)
		}
	})
}

// Guards against an oracle that cannot fail: without the order check of announcements it must report an error.
func TestOracleSeesMissingIncarnationCheck(t *testing.T) {
	t.Parallel()
	run := func(build func(machine.Config) *controller.Controller) []string {
		m := newModel(7, smallFleet, build)
		victim := ordinaryNode(m.fleet, "r0-b")
		m.kill(victim)
		m.fleet.Simulator().Run(time.Second)
		m.restart(victim)
		return m.settle()
	}
	if wrong := run(nil); len(wrong) > 0 {
		t.Errorf("with the check: %v", wrong)
	}
	wrong := run(func(c machine.Config) *controller.Controller {
		return &controller.Controller{Machines: []machine.Machine{registrar.WithoutOrderCheck(registrar.New(c))}}
	})
	if len(wrong) == 0 {
		t.Error("the oracle found nothing wrong without the check")
	}
}
