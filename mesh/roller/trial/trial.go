package trial

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/roller"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/simulator"
)

// The service and versions of all trials.
const (
	Service = "ergebnis"
	From    = "v1"
	To      = "v2"
)

const (
	updatePeriod  = 50 * time.Millisecond
	requestDelay  = 2 * time.Second // the relays are up by then
	watchAfterEnd = 5 * time.Second // the oracle continues after the end, to detect late changes
)

var regions = []string{"obb", "mfr", "swb"}

// Trial simulates one rollout; its exported fields are set before Run.
type Trial struct {
	Seed          uint64
	Nodes         int     // for each data centre
	Rate          float64 // calls of the service a second
	Routes        map[string]float64
	Old, New      Model
	Deadline      time.Duration // from the request
	Settle        time.Duration
	AnnounceAfter time.Duration // when the new version's endpoints are announced, from the request
	// InjectFaults schedules faults; nil is allowed.
	InjectFaults func(*Trial)
	// Wrap replaces a node's rollout machine; nil is allowed.
	Wrap func(machine.Config, machine.Machine) machine.Machine
	// Baseline replaces the rollout machine by the baseline: steps by time and an error threshold of 5%.
	Baseline bool
	// IgnoreVerdicts makes data paths ignore verdicts, to test that the oracle detects it.
	IgnoreVerdicts bool

	sim         *simulator.Simulator
	fleet       *fleet
	traffic     *traffic
	oracle      *oracle
	requestedAt time.Time
}

// Simulator returns the simulated fleet, for InjectFaults.
func (t *Trial) Simulator() *simulator.Simulator { return t.sim }

// At runs f when d has passed since the request.
func (t *Trial) At(d time.Duration, f func()) { t.sim.After(requestDelay+d, f) }

// Run runs the rollout to its end, at most 30 s beyond its deadline, and returns the report.
func (t *Trial) Run() Report {
	t.sim = simulator.New(t.Seed, regions[0])
	t.sim.Build = t.build
	t.sim.OnPublish = t.handlePublish
	t.oracle = newOracle(t)
	t.fleet = newFleet(t)
	t.traffic = newTraffic(t)
	t.setUpStore()
	t.fleet.start()
	t.every(updatePeriod, t.fleet.update)
	t.every(batchPeriod, t.traffic.makeCalls)
	t.sim.After(requestDelay, t.requestRollout)
	if t.Baseline {
		f := &fixedSteps{trial: t}
		t.every(time.Second, f.step)
	}
	if t.InjectFaults != nil {
		t.InjectFaults(t)
	}
	limit := requestDelay + t.Deadline + 30*time.Second
	t.sim.RunUntil(limit, func() bool {
		t.oracle.check()
		return t.oracle.finished
	})
	end := t.sim.Now().Add(watchAfterEnd)
	t.sim.RunUntil(2*watchAfterEnd, func() bool {
		t.oracle.check()
		return t.sim.Now().After(end)
	})
	return t.report()
}

func (t *Trial) build(c machine.Config) *controller.Controller {
	if t.Baseline {
		return &controller.Controller{}
	}
	m := machine.Machine(roller.New(c))
	if t.Wrap != nil {
		m = t.Wrap(c, m)
	}
	return &controller.Controller{Machines: []machine.Machine{publisher{}, m}}
}

func (t *Trial) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		t.sim.After(d, again)
	}
	t.sim.After(d, again)
}

func (t *Trial) setUpStore() {
	h := head.Head{}.WithPreset("everyday", map[string]string{Service: "00"}, "setup", "operator")
	t.sim.Store().Put(head.Plural, head.Name, must(h.Encode()))
}

func (t *Trial) requestRollout() {
	t.requestedAt = t.sim.Now()
	r := rollout.New(rollout.Fields{
		ID: fmt.Sprintf("move-%d", t.Seed), Service: Service, From: From, To: To,
		Deadline: t.requestedAt.Add(t.Deadline), RequestedAt: t.requestedAt,
		Settle: t.Settle, Token: "asked", Writer: "operator",
	})
	t.sim.Store().Put(rollout.Plural, Service, must(r.Encode()))
}

// CancelRollout requests a rollback, as an operator's tool does.
func (t *Trial) CancelRollout() {
	r := t.Rollout()
	t.sim.Store().Put(rollout.Plural, Service, must(r.WithCancel().WithWrite("cancelled", "operator").Encode()))
}

// DeleteRollout deletes the rollout object, as an operator may.
func (t *Trial) DeleteRollout() {
	t.sim.Inject(t.sim.Nodes()[0], event.NewLocal(deleteRolloutEvent, nil))
}

// SwitchPreset puts another preset in force, as an operator's tool does.
func (t *Trial) SwitchPreset(name string) {
	h, err := head.Decode(t.sim.Store().Object(head.Plural, head.Name))
	if err != nil {
		panic(err)
	}
	n := h.WithPreset(name, map[string]string{Service: "01"}, name, "operator")
	t.sim.Store().Put(head.Plural, head.Name, must(n.Encode()))
}

// LeaseHolder returns the holder in the stored lease, or the empty string.
func (t *Trial) LeaseHolder() string { return t.lease().Holder }

type leaseSpec struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

func (t *Trial) lease() leaseSpec {
	var l leaseSpec
	if spec := t.sim.Store().Object("leases", "roller-"+Service).Spec(); len(spec) > 0 {
		if err := json.Unmarshal(spec, &l); err != nil {
			panic(err)
		}
	}
	return l
}

// Rollout returns the stored rollout.
func (t *Trial) Rollout() rollout.Rollout {
	r, err := rollout.Decode(t.sim.Store().Object(rollout.Plural, Service))
	if err != nil {
		panic(err)
	}
	return r
}

func (t *Trial) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(t.Seed, stream)) }

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
