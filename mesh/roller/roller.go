package roller

import (
	"strings"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/machine"
)

const (
	// priority runs this machine after those that raise rosters and configurations.
	priority = 30
	// announcePeriod is how often a holder announces itself to the relays.
	announcePeriod = time.Second
	// holderLostTimeout is the time without an announcement after which a gateway reads the lease: one lost announcement
	// and some delay.
	holderLostTimeout = 1500 * time.Millisecond
	// minSubscribeInterval is the minimum time between two subscriptions to the same service.
	minSubscribeInterval = 10 * time.Second
)

func init() {
	machine.Register("roller", priority, func(c machine.Config) machine.Machine { return New(c) })
}

// Roller is the state machine that drives rollouts.
type Roller struct {
	view           *view
	reporter       *reporter
	collector      *collector
	assessor       *assessor
	spreader       *spreader
	watcher        *watcher
	jobs           map[string]*job // by service
	nextAnnounceAt time.Time
	subscribedAt   map[string]time.Time // by service
}

// New returns a Roller without any rollouts.
func New(c machine.Config) *Roller {
	v := newView(c)
	r := &Roller{
		view: v, reporter: newReporter(v), collector: newCollector(v), spreader: newSpreader(v), watcher: newWatcher(v),
		jobs: map[string]*job{}, subscribedAt: map[string]time.Time{},
	}
	r.assessor = newAssessor(v, r)
	return r
}

// Step implements machine.Machine.
func (r *Roller) Step(now time.Time, e event.Event) []effect.Effect {
	r.view.update(e)
	fs := r.reporter.step(now, e)
	fs = append(fs, r.collector.step(now, e)...)
	fs = append(fs, r.spreader.step(now, e)...)
	for _, v := range r.assessor.step(now, e) {
		if r.view.roster.IsGateway() || r.holdsLease(now, v.Service()) {
			fs = append(fs, r.spreader.accept(now, v, "")...)
		}
	}
	fs = append(fs, r.subscribe(now, e)...)
	fs = append(fs, r.watcher.step(now, e, r.needsWatch())...)
	return append(fs, r.driveJobs(now, e)...)
}

// subscribe requests the share and endpoints of services that this node judges or drives, since a relay's own upstream
// may not depend on them.
func (r *Roller) subscribe(now time.Time, e event.Event) []effect.Effect {
	if m, ok := e.Message().Body().(*counts); ok {
		if _, known := r.view.shares[m.Service]; !known {
			return r.requestSubscription(now, m.Service)
		}
	}
	if e.Kind() != event.Tick {
		return nil
	}
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		if len(r.view.groups[service]) == 0 {
			fs = append(fs, r.requestSubscription(now, service)...)
		}
	}
	return fs
}

func (r *Roller) requestSubscription(now time.Time, service string) []effect.Effect {
	if now.Sub(r.subscribedAt[service]) < minSubscribeInterval {
		return nil
	}
	r.subscribedAt[service] = now
	return []effect.Effect{effect.NewRaise(event.NewLocal(event.SubscriptionNeeded, service))}
}

func (r *Roller) holdsLease(now time.Time, service string) bool {
	j := r.jobs[service]
	return j != nil && j.lease.valid(now)
}

// needsWatch reports whether this node must follow the rollouts in the store.
func (r *Roller) needsWatch() bool {
	return r.view.isRelay() && (r.view.roster.IsGateway() || len(r.jobs) > 0)
}

// driveJobs updates the jobs from the rollouts in the store, passes them the event and removes idle ones.
func (r *Roller) driveJobs(now time.Time, e event.Event) []effect.Effect {
	r.updateJobs(now)
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		j := r.jobs[service]
		switch {
		case e.Kind() == event.Tick:
			fs = append(fs, j.tick(now, r.wantsLease(now, j))...)
		case e.Kind() == event.StoreReplied && strings.HasPrefix(e.ID(), requestIDPrefix):
			fs = append(fs, j.handleReply(now, e, r.wantsLease(now, j))...)
		}
		idle := !j.lease.valid(now) && j.lease.pendingID == ""
		if idle && (!j.active() || !r.view.roster.IsGateway()) {
			delete(r.jobs, service)
		}
	}
	if e.Kind() == event.Tick && !now.Before(r.nextAnnounceAt) {
		r.nextAnnounceAt = now.Add(announcePeriod)
		fs = append(fs, r.announceHolder(now)...)
	}
	return fs
}

func (r *Roller) updateJobs(now time.Time) {
	for service, s := range r.watcher.rollouts {
		j := r.jobs[service]
		if j == nil && (s.rollout.Finished() || !r.view.roster.IsGateway()) {
			continue
		}
		if j == nil {
			j = newJob(r.view, r, r, service, now)
			r.jobs[service] = j
		}
		j.update(s)
	}
	for service, j := range r.jobs {
		if _, exists := r.watcher.rollouts[service]; r.watcher.synced && !exists {
			j.deleted = true
		}
	}
}

// wantsLease reports whether this node should hold the job's lease.
func (r *Roller) wantsLease(now time.Time, j *job) bool {
	if !r.view.isRelay() || !j.active() {
		return false
	}
	if j.lease.valid(now) {
		return true
	}
	h := r.collector.holders[j.service]
	return r.view.roster.IsGateway() && now.Sub(h.lastSeen) >= holderLostTimeout
}

func (r *Roller) announceHolder(now time.Time) []effect.Effect {
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		j := r.jobs[service]
		if j.active() && j.lease.valid(now) {
			body := &holder{
				Service: service, Address: r.view.node.Node, Epoch: j.lease.epoch(), Gateway: r.view.roster.IsGateway(),
			}
			fs = append(fs, r.view.sendAll(r.view.otherRelays(), holderKind, body)...)
		}
	}
	return fs
}

// maxWait implements waitLimiter.
func (r *Roller) maxWait(now time.Time, service string) time.Duration {
	switch {
	case r.holdsLease(now, service):
		return holderMaxWait
	case now.Sub(r.collector.holders[service].lastSeen) < holderLostTimeout:
		return gatewayMaxWait
	}
	return 0
}

// result implements resultSource.
func (r *Roller) result(service, rollout string, permille int) (judge.Result, float64) {
	c := r.assessor.assessments[service]
	if c == nil || c.share.Rollout() != rollout {
		return judge.New("", "").Result(), 0
	}
	if c.share.Permille() != permille {
		return judge.New("", "").Result(), c.callRate
	}
	return c.judge.Result(), c.callRate
}

// badReason implements verdictSource.
func (r *Roller) badReason(service, rollout string) (string, bool) {
	v, ok := r.spreader.verdictOn(service, rollout)
	return v.Reason(), ok
}
