package runner

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/slotter"
)

func init() {
	kernel.Register("runner", 45, func() kernel.Part { return &Runner{} })
}

// Reasons of refusals that are neither the slotter's nor the exchanger's.
const (
	reasonAbsent    = "absent"    // no upstream has announced itself
	reasonSuspect   = "suspect"   // the upstream has just refused a connection
	reasonMisrouted = "misrouted" // the call is for another instance, service or version
)

var (
	runs    = metrics.GetOrRegisterCounter("run.calls", nil)
	refused = metrics.GetOrRegisterCounter("run.refused", nil)
	took    = metrics.GetOrRegisterHistogram("run.took.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
	waited  = metrics.GetOrRegisterHistogram("run.waited.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
)

// local knows the current upstream.
type local interface {
	// Current returns the upstream, or nil.
	Current() *enroller.Upstream
	// MarkSuspect takes that the instance cannot be reached.
	MarkSuspect(instance, reason string)
	// ClearSuspect takes that the instance has answered.
	ClearSuspect(instance string)
}

// place is where calls run: the connections and slots of one start of the upstream.
type place struct {
	instance  string
	exchanger *exchanger.Exchanger
	slotter   *slotter.Slotter
	pace      atomic.Int64 // time in the upstream as a multiple of the usual one, in thousandths
}

const (
	// usualPace is the pace of an upstream as fast as the others of its service.
	usualPace = 1000
	// freshPace is the pace before the first calls: that of a fast upstream. Taken for a usual one, an upstream that has
	// joined would get no calls as long as faster ones have room, and so would never be measured.
	freshPace = 700
	// paceWeight is the weight of one call in the smoothed pace, so that some ten calls settle it.
	paceWeight = 0.1
	// anchor pulls the pace to the usual one. Usual times are measured against paces, so without it all paces could
	// drift together.
	anchor = 0.01
	// mostPace bounds one call, as a few odd ones must not exclude an endpoint.
	mostPace = 10 * usualPace
)

// measure takes the time of a call.
func (p *place) measure(spent, usual time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(mostPace, float64(spent)/float64(usual)*usualPace)
	old := p.pace.Load()
	p.pace.Store(old + int64(paceWeight*(ratio-float64(old))+anchor*(usualPace-float64(old))))
}

// Runner runs calls on the local upstream.
type Runner struct {
	log     *slog.Logger
	local   local
	dialect exchanger.Dialect
	place   atomic.Pointer[place]
}

// Start finds the parts that the runner needs.
func (r *Runner) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.local, err = kernel.Need[local](k); err != nil {
		return nil, err
	}
	if r.dialect, err = kernel.Need[exchanger.Dialect](k); err != nil {
		return nil, err
	}
	r.log = k.Log
	return nil, nil
}

// UpstreamChanged follows the upstream: a new start gets its own connections and slots, and a leaving one no more calls.
func (r *Runner) UpstreamChanged(l *enroller.Upstream) {
	a := l.Announcement()
	p := r.place.Load()
	leaving := l.State() == endpoint.Leaving
	if p == nil || p.instance != a.Instance || p.exchanger.Address != a.Address || p.slotter.Closed() && !leaving {
		next := &place{
			instance:  a.Instance,
			exchanger: &exchanger.Exchanger{Address: a.Address, Dialect: r.dialect},
			slotter:   slotter.New(a.Slots),
		}
		next.pace.Store(freshPace)
		r.place.Store(next)
		if p != nil {
			p.slotter.Close()
			p.exchanger.CloseIdleConnections()
		}
		p = next
	}
	if p.slotter.Slots() != a.Slots {
		p.slotter.Resize(a.Slots)
	}
	if leaving {
		p.slotter.Close()
	}
}

// Serve runs one call and returns its end; ctx ends with the call's deadline, its caller or its link.
func (r *Runner) Serve(ctx context.Context, c call.Call) answer.Answer {
	p := r.place.Load()
	if reason := r.check(ctx, c, p); reason != "" {
		return r.refuse(c, p, reason, 0)
	}
	begin := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = begin.Add(time.Minute)
	}
	request := slotter.Request{
		Priority: c.Priority(), Deadline: deadline, LatestStart: begin.Add(time.Duration(c.LatestStart()) * time.Millisecond),
		MaxWait: time.Duration(c.MaxWait()) * time.Millisecond,
	}
	if refusal, wait := p.slotter.Acquire(ctx, request); refusal != "" {
		return r.refuse(c, p, string(refusal), wait)
	}
	wait := time.Since(begin)
	waited.Update(wait.Milliseconds())
	// The upstream or the caller may have left while the call waited.
	if reason := r.check(ctx, c, p); reason != "" {
		p.slotter.Release(0)
		return r.refuse(c, p, reason, 0)
	}
	runs.Inc(1)
	a := p.exchanger.Exchange(ctx, c)
	r.finish(c, p, a)
	f := a.Fields()
	f.Outstanding, f.Slots, f.ServiceTimeRatio = p.slotter.Outstanding(), p.slotter.Slots(), p.pace.Load()
	return answer.New(f)
}

// Load returns the calls at the local upstream and its pace in thousandths, or zeros if there is none.
func (r *Runner) Load() (outstanding int, pace int64) {
	p := r.place.Load()
	if p == nil {
		return 0, 0
	}
	return p.slotter.Outstanding(), p.pace.Load()
}

func (r *Runner) finish(c call.Call, p *place, a answer.Answer) {
	spent := time.Duration(a.ServiceTime()) * time.Microsecond
	if a.Ran() == answer.No {
		spent = 0
	}
	p.slotter.Release(spent)
	if spent > 0 {
		took.Update(spent.Milliseconds())
	}
	if a.Ran() == answer.Yes && a.Status() < http.StatusInternalServerError || a.Reason() == exchanger.ReasonTimeout && spent > 0 {
		p.measure(spent, time.Duration(c.ExpectedServiceTime())*time.Microsecond)
	}
	switch a.Reason() {
	case exchanger.ReasonUnreachable, exchanger.ReasonWrongInstance:
		r.local.MarkSuspect(p.instance, a.Reason())
	case "":
		if l := r.local.Current(); l != nil && l.State() == endpoint.Suspect {
			r.local.ClearSuspect(p.instance)
		}
	}
	if a.Reason() != "" {
		r.log.Warn("call failed at the upstream", "id", c.RequestID(), "instance", p.instance, "reason", a.Reason(),
			"ran", a.Ran(), "took", spent.Milliseconds(), "left", c.TimeLeft())
	}
}

// Check returns why the call may not run here now, or the empty string.
func (r *Runner) Check(ctx context.Context, c call.Call) string {
	return r.check(ctx, c, r.place.Load())
}

// Refuse returns the end of a call that was not run, with the expected wait for room.
func (r *Runner) Refuse(c call.Call, reason string, wait time.Duration) answer.Answer {
	return r.refuse(c, r.place.Load(), reason, wait)
}

// check returns why the call may not run here now, or the empty string.
func (r *Runner) check(ctx context.Context, c call.Call, p *place) string {
	l := r.local.Current()
	if l == nil || p == nil {
		return reasonAbsent
	}
	a := l.Announcement()
	switch {
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case a.Instance != p.instance || c.Instance() != "" && c.Instance() != a.Instance,
		c.Service() != a.Service, c.Version() != "" && c.Version() != a.Version:
		return reasonMisrouted
	case l.State() == endpoint.Leaving:
		return string(slotter.Leaving)
	case l.State() == endpoint.Suspect && !l.MayRetry(time.Now()):
		return reasonSuspect
	}
	return ""
}

func (r *Runner) refuse(c call.Call, p *place, reason string, wait time.Duration) answer.Answer {
	refused.Inc(1)
	f := answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()}
	if p != nil {
		f.Outstanding, f.Slots, f.ServiceTimeRatio = p.slotter.Outstanding(), p.slotter.Slots(), p.pace.Load()
	}
	r.log.Info("call refused", "id", c.RequestID(), "instance", c.Instance(), "reason", reason, "outstanding", f.Outstanding,
		"slots", f.Slots, "wait", f.RetryAfter, "patience", c.MaxWait(), "start", c.LatestStart(), "left", c.TimeLeft(), "rank", c.Priority())
	return answer.New(f)
}
