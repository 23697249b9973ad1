package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployments on the pages.
const (
	heartbeat       = 1500 * time.Millisecond
	stabilityWindow = 3 * time.Second
	drain           = 2500 * time.Millisecond
	grace           = 6 * time.Second
	exposureShare   = 0.1
	exposureSlack   = 50
)

// cases holds the cases by name; each returns what is broken, or the empty string.
var cases = map[string]func(*rig) string{
	"term": playTerm, "order": playOrder, "drain": playDrain, "caller": playCaller,
}

// playTerm stops the node of a machine whose clients wait for answers, and starts it again.
func playTerm(g *rig) string {
	g.configure(7, []string{"desk", "hub"}, []route{
		{host: "hub.example", prefix: "/hub/", kind: "unsafe", service: "hub", timeout: "6000ms", objective: "2500ms"},
	})
	first, _ := g.startNode(11, "desk"), g.startNode(12, "hub")
	go g.startEndpoint(11, "i-desk-1", "desk", "v1", 0).beat()
	go g.startEndpoint(12, "i-hub-1", "hub", "v1", 0).beat()
	g.awaitReady(10 * time.Second)
	time.Sleep(stabilityWindow + 2*time.Second)
	// Short requests show that the path is sound, and how long such requests take.
	for range 20 {
		g.send(11, http.MethodPost, "hub.example", "/hub/w100/x", 6*time.Second)
	}
	const before = 400 * time.Millisecond
	term := time.Now().Add(before)
	var mutex sync.Mutex
	var results []result
	works := map[string]time.Duration{}
	var group sync.WaitGroup
	for i := range 8 {
		// The endpoint is to end between 4.92 and 4.99 s after the SIGTERM; the last sixth of grace begins at 5 s.
		work := before + 4920*time.Millisecond + time.Duration(i)*10*time.Millisecond
		path := fmt.Sprintf("/hub/w%d/%d", work.Milliseconds(), i)
		works[path] = work
		group.Go(func() {
			r := g.send(11, http.MethodPost, "hub.example", path, 6*time.Second)
			mutex.Lock()
			results = append(results, r)
			mutex.Unlock()
		})
	}
	time.Sleep(time.Until(term))
	term = time.Now()
	if g.trouble {
		first.signal(syscall.SIGTERM)
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond) // the endpoint notices that a connection has closed
	runs := map[string]run{}
	for _, x := range g.allRuns() {
		runs[x.id] = x
	}
	lost := 0
	for _, r := range results {
		x, ran := runs[r.id]
		g.note("request %s: sent %.3f s before the SIGTERM, ended %.3f s after it: status %d, signed %t, error %v", r.id,
			term.Sub(r.sentAt).Seconds(), r.endedAt.Sub(term).Seconds(), r.status, r.signed, r.err)
		if !ran {
			g.note("  it did not run")
			continue
		}
		g.note("  ran at %s from %.3f to %.3f s after the SIGTERM, Deadline-Ms %d: %s", x.instance, x.at.Sub(term).Seconds(),
			x.endedAt.Sub(term).Seconds(), x.deadline.Milliseconds(), x.outcome)
		// An answer without the signature is the node's own. The endpoint was at work, as it says how its work ended, and neither
		// the client's deadline nor the route's timeout, both 6 s, had passed.
		inTime := r.endedAt.Sub(r.sentAt) < 6*time.Second
		// Its work would have ended before the last sixth of grace, too.
		planned := x.at.Add(works[x.path])
		if !r.signed && x.outcome[0] == 'd' && inTime && x.endedAt.Sub(term) < grace*5/6 && planned.Sub(term) < grace*5/6 {
			lost++
		}
	}
	for end := term.Add(grace); g.trouble && first.running() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	g.note("the node is running %.3f s after the SIGTERM: %t", time.Since(term).Seconds(), first.running())
	if lost == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: after a SIGTERM the node broke off %d of %d requests at which the endpoint was at work", lost, len(results))
}

// playOrder replaces the finished orders of two services by new ones.
func playOrder(g *rig) string {
	services := []string{"desk", "hub"}
	g.configure(7, services, []route{
		{host: "desk.example", prefix: "/desk/", kind: "safe", service: "desk", timeout: "1200ms", objective: "800ms"},
		{host: "hub.example", prefix: "/hub/", kind: "unsafe", service: "hub", timeout: "1200ms", objective: "800ms"},
	})
	host := 11
	start := func(service, version string, failShare float64) []*endpoint {
		var es []*endpoint
		for i := range 3 {
			g.startNode(host, service)
			e := g.startEndpoint(host, fmt.Sprintf("i-%s-%s-%d", service, version, i), service, version, failShare)
			go e.beat()
			es = append(es, e)
			host++
		}
		return es
	}
	start("desk", "v9", 0)
	start("hub", "v9", 0)
	g.awaitReady(10 * time.Second)
	for _, s := range services {
		g.operator(http.MethodPost, "rollouts", order(s, "v9", "6s"))
	}
	time.Sleep(8 * time.Second)
	for _, s := range services {
		g.note("order of %s to v9: %s", s, g.orderState(s))
	}
	stopTraffic := make(chan struct{})
	var traffic sync.WaitGroup
	var mutex sync.Mutex
	answers := map[int]int{}
	for client := range 8 {
		traffic.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopTraffic:
					return
				case <-time.After(60 * time.Millisecond):
				}
				r := g.send(11+(client+n)%6, http.MethodPost, "hub.example", "/hub/w20/x", 2*time.Second)
				mutex.Lock()
				answers[r.status]++
				mutex.Unlock()
			}
		})
	}
	time.Sleep(stabilityWindow)
	const period = 12 * time.Second
	ordered := map[string]time.Time{}
	for _, s := range services {
		g.operator(http.MethodDelete, "rollouts/"+s, nil)
		if !g.trouble {
			time.Sleep(time.Second)
		}
		g.operator(http.MethodPost, "rollouts", order(s, "v10", period.String()))
		ordered[s] = time.Now()
		if !g.trouble {
			time.Sleep(time.Second)
		}
	}
	start("desk", "v10", 0)
	start("hub", "v10", 0.5)
	deadline := ordered["hub"].Add(period)
	time.Sleep(time.Until(deadline))
	state := g.orderState("hub")
	close(stopTraffic)
	traffic.Wait()
	all, bad, badAnswers := 0, 0, 0
	for _, x := range g.allRuns() {
		if x.service != "hub" || x.at.Before(ordered["hub"]) || x.at.After(deadline) {
			continue
		}
		all++
		if x.version == "v10" {
			bad++
			if x.outcome != "200" {
				badAnswers++
			}
		}
	}
	g.note("answers to clients by status: %v", answers)
	for _, s := range services {
		g.note("order of %s to v10 at the deadline of the last: %s", s, g.orderState(s))
	}
	allowed := exposureShare*float64(all) + exposureSlack
	g.note("hub v10 got %d of %d requests between the order and its deadline, allowed %.0f; %d of them failed", bad, all, allowed, badAnswers)
	if float64(bad) <= allowed {
		return ""
	}
	return fmt.Sprintf("EXPOSURE: the bad version got %d of %d requests, allowed %.0f; the order's state is %s", bad, all, allowed, state)
}

// playDrain kills all nodes after one has acknowledged that its endpoint leaves.
func playDrain(g *rig) string {
	g.configure(7, []string{"hub"}, []route{
		{host: "hub.example", prefix: "/hub/", kind: "unsafe", service: "hub", timeout: "1200ms", objective: "800ms"},
	})
	var es []*endpoint
	for i := range 3 {
		g.startNode(11+i, "hub")
		e := g.startEndpoint(11+i, fmt.Sprintf("i-hub-%d", i), "hub", "v1", 0)
		go e.beat()
		es = append(es, e)
	}
	g.awaitReady(10 * time.Second)
	time.Sleep(stabilityWindow)
	leaving := es[0]
	late := leaving.message("ready")
	lateSent := time.Now()
	leaving.stopBeats()
	time.Sleep(100 * time.Millisecond)
	if s := leaving.tell(http.MethodDelete, []byte(fmt.Sprintf(`{"born":%d}`, leaving.born))); s != http.StatusOK {
		panic(fmt.Sprintf("the leaving was answered with %d", s))
	}
	acked := time.Now()
	g.note("node 11 acknowledges that %s leaves", leaving.id)
	time.Sleep(400 * time.Millisecond)
	restarted := time.Now()
	if g.trouble {
		for _, n := range g.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range g.nodes {
			<-n.ended
		}
		time.Sleep(300 * time.Millisecond)
		restarted = time.Now()
		for _, n := range g.nodes {
			n.start()
		}
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(time.Until(lateSent.Add(2 * time.Second)))
	g.note("a heartbeat that %s has sent %.1f s ago arrives: %d", leaving.id, time.Since(lateSent).Seconds(), leaving.tell(http.MethodPut, late))
	time.Sleep(time.Until(restarted.Add(stabilityWindow + 500*time.Millisecond)))
	inTouch := time.Now()
	g.note("requests of machines in touch begin")
	var group sync.WaitGroup
	var mutex sync.Mutex
	var results []result
	end := time.Now().Add(4 * time.Second)
	for client := range 6 {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := g.send(11+(client+n)%3, http.MethodPost, "hub.example", "/hub/w150/x", 2*time.Second)
				mutex.Lock()
				results = append(results, r)
				mutex.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(end.Add(-500 * time.Millisecond)))
	leaving.end()
	group.Wait()
	reached := 0
	for _, x := range g.allRuns() {
		if x.instance == leaving.id && x.at.After(acked.Add(drain)) && x.at.After(inTouch) {
			reached++
		}
	}
	answers := map[int]int{}
	for _, r := range results {
		answers[r.status]++
	}
	g.note("answers to clients by status: %v", answers)
	g.note("%s ran %d requests that were sent and arrived later than %v after the acknowledgement, until its end %.1f s after it", leaving.id, reached, drain, end.Sub(acked).Seconds()-0.5)
	if reached == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached an endpoint later than %v after its leaving was acknowledged", reached, drain)
}

// playCaller kills the node beside an endpoint that has taken the address of one of another service.
func playCaller(g *rig) string {
	g.configure(7, []string{"desk", "hub"}, []route{
		{host: "hub.example", prefix: "/hub/", kind: "safe", service: "hub", timeout: "1200ms", objective: "800ms"},
	})
	n := g.startNode(11, "desk")
	g.startNode(12, "hub")
	old := g.startEndpoint(11, "i-desk-0", "desk", "v1", 0)
	go old.beat()
	go g.startEndpoint(12, "i-hub-0", "hub", "v1", 0).beat()
	g.awaitReady(10 * time.Second)
	time.Sleep(stabilityWindow)
	late := old.message("ready")
	lateSent := time.Now()
	old.end()
	time.Sleep(2100 * time.Millisecond) // reuseAfter
	n.service = "hub"
	n.writeSettings()
	next := g.startEndpoint(11, "i-hub-1", "hub", "v1", 0)
	firstBeat := time.Now()
	if s := next.tell(http.MethodPut, next.message("ready")); s != http.StatusOK {
		panic(fmt.Sprintf("the heartbeat was answered with %d", s))
	}
	time.Sleep(100 * time.Millisecond)
	if g.trouble {
		n.signal(syscall.SIGKILL)
		<-n.ended
		time.Sleep(200 * time.Millisecond)
		n.start()
	}
	for g.trouble && !n.ready() {
		time.Sleep(10 * time.Millisecond)
	}
	g.note("a heartbeat that %s has sent %.1f s ago arrives: %d", old.id, time.Since(lateSent).Seconds(), old.tell(http.MethodPut, late))
	begun := time.Now()
	for time.Since(firstBeat) < heartbeat-100*time.Millisecond {
		g.send(11, http.MethodGet, "hub.example", "/hub/w20/x", 2*time.Second)
	}
	g.note("the node started again %.1f s after the heartbeat of %s, and was sent requests until %.1f s after it", begun.Sub(firstBeat).Seconds(), next.id, time.Since(firstBeat).Seconds())
	time.Sleep(time.Until(firstBeat.Add(heartbeat)))
	go next.beat()
	time.Sleep(300 * time.Millisecond)
	wrong, all := 0, 0
	for _, x := range g.allRuns() {
		if x.at.Before(begun) {
			continue
		}
		all++
		if x.caller != "hub" {
			wrong++
			g.note("%s ran %s, which began on a machine of hub, with Caller-Service %q", x.instance, x.id, x.caller)
		}
	}
	g.note("%d of %d requests had another Caller-Service than the service of their machine", wrong, all)
	if wrong == 0 {
		return ""
	}
	return fmt.Sprintf("UNASKED: an endpoint ran %d of %d requests with the Caller-Service of another service", wrong, all)
}
