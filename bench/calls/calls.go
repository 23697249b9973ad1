package calls

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"wisteriaspoke.example/bench/reporter"
)

func init() { reporter.Register("calls", 90, Measure) }

// Limits from docs/design.md.
const (
	addedLatencyBoundMillis = 1.3  // at the 99th percentile
	cpuBoundPercent         = 3.1  // of a core, for the control plane
	memoryBoundMB           = 32.0 // for the control plane
	// callsPerSecondBound is a node's share of 2.6 million calls a second over 8,600 nodes; each call passes two nodes.
	callsPerSecondBound = 605.0
)

// loadDuration is how long calls are sent for each figure.
const loadDuration = 5 * time.Second

// presetJSON defines a service with a write route and a read route, and a second service without routes.
const presetJSON = `{"name":"bench","services":[{"name":"echo","version":"v1","routes":[
{"name":"echo","path":"/echo","methods":["POST"],"idempotent":true},{"name":"read","path":"/"}]},
{"name":"other","version":"v1"}]}`

// result is the output of wisteriaspoke-load.
type result struct {
	Sent   int            `json:"sent"`
	Unsent int            `json:"unsent"`
	Status map[string]int `json:"status"`
	P50    float64        `json:"p50"`
	P99    float64        `json:"p99"`
	P999   float64        `json:"p999"`
}

// mesh consists of the store, an upstream with its node, and an entry node that receives the calls.
type mesh struct {
	processes   *processes
	upstreamURL string
	entryURL    string
	nodes       []*exec.Cmd
}

// Measure emits the figures and reports failed measurements on standard error.
func Measure(emit reporter.Emit) {
	f, err := newProcesses()
	if err != nil {
		fmt.Fprintf(os.Stderr, "calls: %v\n", err)
		return
	}
	defer f.stop()
	m, err := newMesh(f)
	if err == nil {
		err = m.measure(emit)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "calls: not measured: %v\n", err)
	}
}

func newMesh(f *processes) (*mesh, error) {
	m := &mesh{processes: f}
	addresses := make([]string, 8)
	for i := range addresses {
		a, err := f.freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	store, stub, first, second, calls, operators, adminFirst, adminSecond := addresses[0], addresses[1], addresses[2],
		addresses[3], addresses[4], addresses[5], addresses[6], addresses[7]
	m.upstreamURL, m.entryURL = "http://"+stub, "http://"+calls
	if _, err := f.start("wisteriaspoke-objects", "--listen", store); err != nil {
		return nil, err
	}
	if _, err := f.start("wisteriaspoke-stub", "--listen", stub); err != nil {
		return nil, err
	}
	common := []string{"--data-centre", "obb-a", "--region", "obb", "--seeds", "obb-a=" + first, "--store", "http://" + store, "--link-token", token}
	entryNode, err := f.start("wisteriaspoke-node", append(common, "--node", first, "--calls", calls,
		"--operators", operators, "--operators-token", token, "--admin", adminFirst)...)
	if err != nil {
		return nil, err
	}
	unused, err := f.freeAddress()
	if err != nil {
		return nil, err
	}
	upstreamNode, err := f.start("wisteriaspoke-node", append(common, "--node", second, "--calls", unused, "--service", "echo",
		"--release", "v1", "--slots", "1000", "--upstream", m.upstreamURL, "--admin", adminSecond)...)
	if err != nil {
		return nil, err
	}
	m.nodes = []*exec.Cmd{entryNode, upstreamNode}
	if err := m.configure(operators); err != nil {
		return nil, err
	}
	for _, a := range []string{adminFirst, adminSecond} {
		if err := waitReady("http://" + a + "/readyz"); err != nil {
			return nil, err
		}
	}
	return m, waitReady(m.entryURL + "/")
}

func (m *mesh) configure(operators string) error {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	file := filepath.Join(folder, "preset.json")
	if err := os.WriteFile(file, []byte(presetJSON), 0o600); err != nil {
		return err
	}
	for _, args := range [][]string{{"presets", "apply", file}, {"presets", "use", "bench"}} {
		args = append([]string{"--server", operators, "--token", token}, args...)
		if err := m.processes.retry("wisteriaspoke", args...); err != nil {
			return fmt.Errorf("wisteriaspoke %v: %w", args, err)
		}
	}
	return nil
}

func (m *mesh) load(target string, rate, body int) (result, error) {
	args := []string{"--target", target, "--rate", strconv.Itoa(rate), "--for", loadDuration.String(), "--path", "/echo", "--method", "POST", "--body", strconv.Itoa(body)}
	out, err := m.processes.run("wisteriaspoke-load", args...)
	if err != nil {
		return result{}, fmt.Errorf("wisteriaspoke-load: %w", err)
	}
	var r result
	if err := json.Unmarshal(out, &r); err != nil {
		return result{}, err
	}
	return r, nil
}

// complete reports whether all calls were sent and answered with status 200.
func (r result) complete() bool { return r.Unsent == 0 && r.Status["200"] == r.Sent }

func (m *mesh) measure(emit reporter.Emit) error {
	time.Sleep(2 * time.Second) // let links and leases be established, so that the idle figures exclude start-up work
	if err := m.idle(emit); err != nil {
		return err
	}
	highestRate := 0
	for _, c := range []struct {
		name string
		rate int
		body int
	}{{"added", 300, 100}, {"added_64k", 300, 64 << 10}, {"added_1000", 1000, 100}, {"added_2000", 2000, 100}, {"added_4000", 4000, 100}, {"added_8000", 8000, 100}} {
		direct, err := m.load(m.upstreamURL, c.rate, c.body)
		if err != nil {
			return fmt.Errorf("direct at %d/s: %w", c.rate, err)
		}
		before, _, err := processUsage(m.nodes[0])
		if err != nil {
			return err
		}
		through, err := m.load(m.entryURL, c.rate, c.body)
		if err != nil {
			return fmt.Errorf("through nodes at %d/s: %w", c.rate, err)
		}
		after, memory, err := processUsage(m.nodes[0])
		if err != nil {
			return err
		}
		if through.complete() {
			highestRate = max(highestRate, c.rate)
		}
		baselineName := "direct"
		if !direct.complete() {
			return fmt.Errorf("direct at %d/s: only %v of %d calls answered 200", c.rate, direct.Status["200"], direct.Sent)
		}
		emit("call_"+c.name+"_p50_wall", through.P50-direct.P50, "ms", direct.P50, baselineName, c.rate, 0, addedLatencyBoundMillis, "lower")
		emit("call_"+c.name+"_p99_wall", through.P99-direct.P99, "ms", direct.P99, baselineName, c.rate, 0, addedLatencyBoundMillis, "lower")
		emit("call_"+c.name+"_p999_wall", through.P999-direct.P999, "ms", direct.P999, baselineName, c.rate, 0, 0, "lower")
		emit("call_"+c.name+"_cpu_wall", float64((after-before).Microseconds())/float64(through.Sent), "us", 0, baselineName, c.rate, 0, 0, "lower")
		emit("call_"+c.name+"_memory_wall", float64(memory)/(1<<20), "MB", 0, baselineName, c.rate, 0, 0, "lower")
	}
	emit("call_rate_held_wall", float64(highestRate), "1/s", 0, "none", 1, 0, callsPerSecondBound, "higher")
	return nil
}

// idle measures the processor time and memory of nodes without calls.
func (m *mesh) idle(emit reporter.Emit) error {
	const idlePeriod = 5 * time.Second
	for i, role := range []string{"relay", "node"} {
		before, _, err := processUsage(m.nodes[i])
		if err != nil {
			return err
		}
		time.Sleep(idlePeriod)
		after, memory, err := processUsage(m.nodes[i])
		if err != nil {
			return err
		}
		emit("idle_"+role+"_cpu_wall", 100*(after-before).Seconds()/idlePeriod.Seconds(), "percent", 0, "none", 2, 0, cpuBoundPercent, "lower")
		emit("idle_"+role+"_memory_wall", float64(memory)/(1<<20), "MB", 0, "none", 2, 0, memoryBoundMB, "lower")
	}
	return nil
}
