// Command rig-2 plays the cases 6 to 10 of the second review: it starts the project's node as separate processes, with
// small stand-ins for the store, the endpoints and the clients in its own process.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailed  = 2
	callersPort = 8629
	readyPort   = 8625
	controlPort = 8620
	appPort     = 8628
	storePort   = 8627
)

// rig is one deployment.
type rig struct {
	dir     string // temporary
	trouble bool
	octet   int
	begun   time.Time
	store   *store
	record  *os.File
	mutex   sync.Mutex // guards record, runs and nodes
	runs    []run
	nodes   []*node
}

// run is a request that an endpoint began to work on.
type run struct {
	at                                     time.Time
	id, instance, service, version, caller string
	method, path                           string
	deadline                               time.Duration
	endedAt                                time.Time
	outcome                                string
}

func (g *rig) note(format string, args ...any) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (g *rig) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", g.octet, host) }

func (g *rig) address(host, port int) string { return fmt.Sprintf("%s:%d", g.ip(host), port) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) (code int) {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	g := &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: newStore(), record: record}
	if err := g.openStore(); err != nil {
		g.note("the case cannot run: %v", err)
		return exitFailed
	}
	defer g.stopAll()
	defer func() {
		if cause := recover(); cause != nil {
			g.note("the case cannot run: %v", cause)
			fmt.Fprintln(os.Stderr, "the case cannot run:", cause)
			code = exitFailed
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		g.stopAll()
		os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	broken := play(g)
	if broken != "" {
		g.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	g.note("HELD")
	fmt.Println("held")
	return exitHeld
}

// openStore serves the store at an address of a loopback network that no other process uses.
func (g *rig) openStore() error {
	var err error
	for range 20 {
		g.octet = 20 + rand.IntN(200)
		var l net.Listener
		if l, err = net.Listen("tcp", g.address(1, storePort)); err == nil {
			go http.Serve(l, g.store)
			return nil
		}
	}
	return err
}

// operator makes a call to the store as the operator.
func (g *rig) operator(method, path string, body any) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(data)
	}
	q, err := http.NewRequest(method, "http://"+g.address(1, storePort)+"/objects/"+path, content)
	if err != nil {
		panic(err)
	}
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		panic(err)
	}
	w.Body.Close()
	g.note("operator %s %s: %d", method, path, w.StatusCode)
	if w.StatusCode >= 300 {
		panic(fmt.Sprintf("operator %s %s: %d", method, path, w.StatusCode))
	}
}

func (g *rig) orderState(service string) string {
	g.store.mutex.Lock()
	defer g.store.mutex.Unlock()
	o := g.store.kinds["rollouts"][service]
	if o == nil {
		return "no order"
	}
	return string(o.Status)
}

func order(service, version, period string) map[string]any {
	return map[string]any{"metadata": map[string]any{"name": service}, "spec": map[string]any{"service": service, "targetVersion": version, "period": period}}
}

// route is a route of the configuration.
type route struct{ host, prefix, kind, service, timeout, objective string }

func (g *rig) configure(version int, services []string, routes []route) {
	ss := []map[string]any{}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	hosts := []map[string]any{}
	for i, r := range routes {
		hosts = append(hosts, map[string]any{"host": r.host, "paths": []map[string]any{{
			"name": "r-" + strconv.Itoa(i), "pathPrefix": r.prefix, "routeType": r.kind, "timeout": r.timeout, "targetLatency": r.objective,
			"priority": 1, "service": r.service, "maxAttempts": 2,
		}}})
	}
	g.operator(http.MethodPost, "config", map[string]any{"metadata": map[string]any{"name": "main"}, "spec": map[string]any{
		"version": version, "services": ss, "virtualHosts": hosts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}})
}

// node is one process of the project, beside one endpoint.
type node struct {
	rig     *rig
	host    int
	service string
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

func (g *rig) startNode(host int, service string) *node {
	n := &node{rig: g, host: host, service: service}
	g.mutex.Lock()
	g.nodes = append(g.nodes, n)
	g.mutex.Unlock()
	n.start()
	return n
}

// writeSettings writes the settings file of the machine, as deploy/settings.json.tmpl renders it: all fields as JSON.
func (n *node) writeSettings() string {
	g := n.rig
	ip := g.ip(n.host)
	s := map[string]any{
		"nodeName": fmt.Sprintf("sidecar-%d", n.host), "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"},
		"ip": ip, "zone": "obb-a", "region": "obb", "portRange": []int{7600, 7615}, "seeds": []string{}, "bootstrap": n.starts == 0,
		"inFaultBudget": false, "discovery": "static", "entry": "static", "heartbeat": heartbeat.String(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"},
		"app":       fmt.Sprintf("%s:%d", ip, appPort), "service": n.service, "zones": map[string]string{"obb-a": "obb"},
		"listen": map[string]string{
			"inbound": ip + ":8624", "outbound": fmt.Sprintf("%s:%d", ip, callersPort),
			"readinessAddr": fmt.Sprintf("%s:%d", ip, readyPort), "control": fmt.Sprintf("%s:%d", ip, controlPort),
		},
		"limits":         map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLag": "3s", "reuseAfter": "2s", "stabilityWindow": stabilityWindow.String(), "ack": "4000ms", "catchUp": "4s", "drain": drain.String(),
			"grace": grace.String(), "lossSlack": "200ms", "configApply": "2500ms", "rollbackSlack": "250ms", "skewMax": "5000ms",
			"retryBudgetRatio": 0.2, "budgetWindow": "10s", "budgetSlack": 62, "exposureShare": exposureShare, "exposureSlack": exposureSlack,
			"rollback": "5000ms", "recovery": "15s",
		},
		"platform": map[string]any{
			"address": g.address(1, storePort), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "history": "20s",
			"valueBytes": 1 << 20, "ttlMin": "1000ms",
		},
	}
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	path := filepath.Join(g.dir, fmt.Sprintf("settings-%d.json", n.host))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		panic(err)
	}
	return path
}

func (n *node) start() {
	path := n.writeSettings()
	n.starts++
	log, err := os.Create(filepath.Join(n.rig.dir, fmt.Sprintf("node-%d.%d.log", n.host, n.starts)))
	if err != nil {
		panic(err)
	}
	// The command of the deploy file.
	c := exec.Command("target/wisteriaspoke-platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.dir, "LANG=C", "WISTERIASPOKE_BOOT=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	n.rig.mutex.Lock()
	n.command, n.ended = c, ended
	n.rig.mutex.Unlock()
	n.rig.note("node %d starts", n.host)
	go func() {
		c.Wait()
		log.Close()
		close(ended)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.rig.note("node %d gets %v", n.host, s)
	n.command.Process.Signal(s)
}

func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// stopAll ends all nodes and keeps their logs if asked to.
func (g *rig) stopAll() {
	for _, n := range g.nodes {
		if n.command != nil && n.running() {
			n.command.Process.Kill()
			<-n.ended
		}
	}
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		os.CopyFS(keep, os.DirFS(g.dir))
	}
}

// ready asks the node whether it is ready, as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	w, err := c.Get("http://" + n.rig.address(n.host, readyPort) + "/ready")
	if err != nil {
		return false
	}
	w.Body.Close()
	return w.StatusCode == http.StatusOK
}

func (g *rig) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range g.nodes {
			all = all && n.ready()
		}
		if all {
			g.note("all nodes are ready")
			return
		}
		if time.Now().After(end) {
			panic("the nodes are not ready in time")
		}
	}
}

// result is what a client sees of one request.
type result struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 if the connection ended without a complete answer
	signed  bool
	err     error
}

var lastID struct {
	sync.Mutex
	n int
}

func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.n)
}

// send sends one request on a connection of its own to the node of the host, and waits for the answer.
func (g *rig) send(host int, method, hostName, path string, deadline time.Duration) result {
	r := result{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("entry " + r.id)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+g.address(host, callersPort)+path, body)
	if err != nil {
		panic(err)
	}
	q.Host = hostName
	q.Header.Set("Request-Id", r.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	g.note("client on machine %d sends %s %s%s, id %s, Deadline-Ms %d", host, method, hostName, path, r.id, deadline.Milliseconds())
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	w, err := t.RoundTrip(q)
	if err == nil {
		_, err = io.ReadAll(w.Body)
		w.Body.Close()
	}
	r.endedAt, r.err = time.Now(), err
	if err == nil {
		r.status, r.signed = w.StatusCode, w.Header.Get("Response-Signature") != ""
	}
	g.note("client gets for %s: status %d, signed %t, error %v", r.id, r.status, r.signed, err)
	return r
}
