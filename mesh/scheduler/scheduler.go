package scheduler

import (
	"fmt"
	"math"
	"time"

	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/share"
)

const (
	// leastDwell is the shortest time at one share: up to 2 s until it is in force everywhere, and one second of calls
	// to count.
	leastDwell = 3 * time.Second
	// mostDwell bounds a step when the deadline is far away. Faults that show only after minutes are still found while
	// the old version has calls; a longer wait delays good versions without finding many more.
	mostDwell = 2 * time.Minute
	// pace is the part of the available time that is planned for; the rest is for slow evidence and store outages.
	pace = 0.5
	// reserve is kept for the two last writes and one retry of each after a timeout of 2 s.
	reserve = 5 * time.Second
)

// steps are the shares in thousandths; the first bounds the harm before any verdict.
var steps = []int{50, 250, 500, share.FullPermille}

// Input are the values that a plan depends on.
type Input struct {
	Version          string // the new version
	Now              time.Time
	Deadline         time.Time
	Settle           time.Duration
	Share            int           // the new version's share in force, in thousandths
	ShareSetAt       time.Time     // when the share was set
	Finding          judge.Finding // on the evidence at this share
	CallsNeeded      uint64        // more calls of the new version until a finding
	CallRate         float64       // calls a second, both versions together
	HasReadyEndpoint bool          // the new version has an endpoint
}

// Plan decides what happens now.
func Plan(f Input) Decision {
	if f.Share >= share.FullPermille {
		return f.settle()
	}
	next, later := f.following()
	latest := f.Deadline.Add(-f.least(later))
	if f.Now.After(latest) {
		return f.takeBack(latest)
	}
	if f.Share == 0 {
		return f.start(next, later)
	}
	remaining := f.required(later)
	d := Decision{action: Hold, late: f.Now.Add(remaining).After(f.Deadline)}
	earliest := f.ShareSetAt.Add(f.dwell(later))
	switch {
	case f.Finding != judge.Good:
		d.reason = fmt.Sprintf("%s of calls; the evidence is not sufficient yet", percent(f.Share))
		d.next = fmt.Sprintf("%s after about %d more calls of the new version%s", percent(next), f.CallsNeeded, f.wait())
	case f.Now.Before(earliest):
		d.reason = fmt.Sprintf("%s of calls; the evidence is good", percent(f.Share))
		d.next = fmt.Sprintf("%s in %s", percent(next), seconds(earliest.Sub(f.Now)))
	default:
		d.action, d.share = Widen, next
		d.reason = fmt.Sprintf("the evidence at %s is good", percent(f.Share))
		d.next = fmt.Sprintf("evidence at %s", percent(next))
		if next == share.FullPermille {
			d.next = fmt.Sprintf("done after a settle time of %s", seconds(f.Settle))
		}
	}
	return f.warn(d, remaining)
}

// start gives the new version its first share as soon as it has an endpoint.
func (f Input) start(next, later int) Decision {
	if !f.HasReadyEndpoint {
		return Decision{action: Hold, reason: "no calls yet", next: "waiting for upstreams of version " + f.Version}
	}
	d := Decision{action: Widen, share: next, reason: "upstreams of the new version are ready"}
	d.next = fmt.Sprintf("evidence at %s", percent(next))
	return f.warn(d, f.required(later))
}

// settle waits at the whole share until the settle time has passed with good evidence.
func (f Input) settle() Decision {
	if f.Finding == judge.Suspect {
		return Decision{
			action: Narrow, share: steps[len(steps)-2], reason: "calls fail more often than before the whole share",
			next: "a verdict after a comparison with the old version",
		}
	}
	end := f.ShareSetAt.Add(f.Settle)
	if f.Now.Before(end) {
		return Decision{
			action: Hold, reason: "all calls are on the new version", next: "done in " + seconds(end.Sub(f.Now)),
		}
	}
	if f.Finding == judge.Good {
		return Decision{action: Finish, reason: "the settle time passed with good evidence"}
	}
	if f.Now.After(f.Deadline) {
		return f.takeBack(f.Deadline)
	}
	return Decision{
		action: Hold, reason: "the settle time passed without sufficient evidence",
		next: fmt.Sprintf("done after about %d more calls of the new version", f.CallsNeeded),
	}
}

// takeBack ends a rollout that is out of time. A late version can be asked for again; calls that a bad version served
// cannot be undone.
func (f Input) takeBack(latest time.Time) Decision {
	what := fmt.Sprintf("%s of calls had been reached", percent(f.Share))
	switch {
	case f.Share == 0 && !f.HasReadyEndpoint:
		what = "no upstream of the new version had been announced"
	case f.Share == 0:
		what = "no share had been given"
	case f.Finding != judge.Good:
		what = fmt.Sprintf("about %d more calls of evidence were needed at %s", f.CallsNeeded, percent(f.Share))
	}
	return Decision{
		action: TakeBack,
		reason: fmt.Sprintf("out of time: %s at %s, the latest moment for this step; ask again with a later deadline",
			what, latest.UTC().Format(time.TimeOnly)),
	}
}

// warn says early that the deadline cannot be met.
func (f Input) warn(d Decision, remaining time.Duration) Decision {
	left := f.Deadline.Sub(f.Now)
	if remaining <= left {
		return d
	}
	d.late = true
	need := "more evidence than the present rate of calls can give"
	if remaining < math.MaxInt64 {
		need = seconds(remaining)
	}
	d.next += fmt.Sprintf("; the deadline in %s is not safe: about %s are needed", seconds(left), need)
	return d
}

// following returns the next share and how many steps come after the present one.
func (f Input) following() (next, later int) {
	for i, s := range steps {
		if s > f.Share {
			return s, len(steps) - i
		}
	}
	return share.FullPermille, 0
}

// least returns the shortest time from the next change of share to the deadline, with later changes to come.
func (f Input) least(later int) time.Duration {
	return time.Duration(later-1)*leastDwell + f.Settle + reserve
}

// dwell returns how long to stay at the share, from the time that was left when it was set.
func (f Input) dwell(later int) time.Duration {
	left := f.Deadline.Add(-f.least(later)).Sub(f.ShareSetAt)
	return min(max(time.Duration(pace*float64(left)/float64(later)), leastDwell), mostDwell)
}

// required returns the time until done when the evidence comes at the present rate and is good.
func (f Input) required(later int) time.Duration {
	total := f.Settle + reserve + f.collect(f.CallsNeeded, f.Share)
	for _, s := range steps[len(steps)-later:] {
		if s < share.FullPermille {
			total = add(total, max(leastDwell, f.collect(judge.EstimateCallsNeeded(s), s)))
		}
	}
	return total
}

// collect returns the time in which the new version gets so many calls.
func (f Input) collect(calls uint64, permille int) time.Duration {
	if calls == 0 || permille == 0 || f.CallRate == 0 {
		return 0 // no rate is known before the first calls
	}
	d := float64(calls) / (f.CallRate * float64(permille) / share.FullPermille) * float64(time.Second)
	return time.Duration(min(d, math.MaxInt64/2))
}

func add(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

func (f Input) wait() string {
	d := f.collect(f.CallsNeeded, f.Share)
	if d == 0 {
		return ""
	}
	return ", about " + seconds(d)
}

func percent(permille int) string { return fmt.Sprintf("%.4g%%", float64(permille)/10) }

func seconds(d time.Duration) string { return fmt.Sprintf("%d s", int64(math.Ceil(d.Seconds()))) }
