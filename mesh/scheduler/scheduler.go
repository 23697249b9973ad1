package scheduler

import (
	"fmt"
	"math"
	"time"

	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/share"
)

const (
	// minDwell is the shortest time at one share: up to 2 s until all nodes use it, and one second of calls to count.
	minDwell = 3 * time.Second
	// maxDwell bounds the time at one share when the deadline is far away. It is long enough to find faults that appear
	// only after minutes, while the old version still has calls; a longer wait delays good versions and finds few more.
	maxDwell = 2 * time.Minute
	// plannedTimeFraction is the fraction of the available time that the steps are spread over; the rest is a margin for
	// slow evidence and store outages.
	plannedTimeFraction = 0.5
	// finalWriteReserve is the time for the last two writes, each with one retry after a timeout of 2 s.
	finalWriteReserve = 5 * time.Second
)

// steps are the shares in thousandths. The first is small, to limit the harm before there is any evidence.
var steps = []int{50, 250, 500, share.FullPermille}

// Input holds the values that a plan depends on.
type Input struct {
	Version          string // the new version
	Now              time.Time
	Deadline         time.Time
	Settle           time.Duration
	Share            int           // the new version's present share, in thousandths
	ShareSetAt       time.Time     // when the share was set
	Finding          judge.Finding // from the evidence at this share
	CallsNeeded      uint64        // estimated calls of the new version until a finding
	CallRate         float64       // calls a second, both versions together
	HasReadyEndpoint bool          // the new version has an endpoint
}

// Plan returns the action to carry out now and what follows it.
func Plan(in Input) Decision {
	if in.Share >= share.FullPermille {
		return in.settle()
	}
	next, stepsLeft := in.nextShare()
	latest := in.Deadline.Add(-in.minTimeToDeadline(stepsLeft))
	if in.Now.After(latest) {
		return in.takeBack(latest)
	}
	if in.Share == 0 {
		return in.start(next, stepsLeft)
	}
	remaining := in.timeToFinish(stepsLeft)
	d := Decision{action: Hold, deadlineAtRisk: in.Now.Add(remaining).After(in.Deadline)}
	earliest := in.ShareSetAt.Add(in.dwell(stepsLeft))
	switch {
	case in.Finding != judge.Good:
		d.reason = fmt.Sprintf("%s of calls; the evidence is not sufficient yet", percent(in.Share))
		d.nextStep = fmt.Sprintf("%s after about %d more calls of the new version%s",
			percent(next), in.CallsNeeded, in.waitSuffix())
	case in.Now.Before(earliest):
		d.reason = fmt.Sprintf("%s of calls; the evidence is good", percent(in.Share))
		d.nextStep = fmt.Sprintf("%s in %s", percent(next), seconds(earliest.Sub(in.Now)))
	default:
		d.action, d.share = Widen, next
		d.reason = fmt.Sprintf("the evidence at %s is good", percent(in.Share))
		d.nextStep = fmt.Sprintf("evidence at %s", percent(next))
		if next == share.FullPermille {
			d.nextStep = fmt.Sprintf("done after a settle time of %s", seconds(in.Settle))
		}
	}
	return in.withDeadlineWarning(d, remaining)
}

// start sets the first share as soon as the new version has an endpoint.
func (in Input) start(next, stepsLeft int) Decision {
	if !in.HasReadyEndpoint {
		return Decision{action: Hold, reason: "no calls yet", nextStep: "waiting for upstreams of version " + in.Version}
	}
	d := Decision{action: Widen, share: next, reason: "upstreams of the new version are ready"}
	d.nextStep = fmt.Sprintf("evidence at %s", percent(next))
	return in.withDeadlineWarning(d, in.timeToFinish(stepsLeft))
}

// settle holds the full share until the settle time has passed with good evidence.
func (in Input) settle() Decision {
	if in.Finding == judge.Suspect {
		return Decision{
			action: Narrow, share: steps[len(steps)-2], reason: "calls fail more often than before the whole share",
			nextStep: "a verdict after a comparison with the old version",
		}
	}
	end := in.ShareSetAt.Add(in.Settle)
	if in.Now.Before(end) {
		return Decision{
			action: Hold, reason: "all calls are on the new version", nextStep: "done in " + seconds(end.Sub(in.Now)),
		}
	}
	if in.Finding == judge.Good {
		return Decision{action: Finish, reason: "the settle time passed with good evidence"}
	}
	if in.Now.After(in.Deadline) {
		return in.takeBack(in.Deadline)
	}
	return Decision{
		action: Hold, reason: "the settle time passed without sufficient evidence",
		nextStep: fmt.Sprintf("done after about %d more calls of the new version", in.CallsNeeded),
	}
}

// takeBack rolls back a rollout that is out of time. A late rollout can be started again, but calls that a bad version
// has served cannot be undone.
func (in Input) takeBack(latest time.Time) Decision {
	what := fmt.Sprintf("%s of calls had been reached", percent(in.Share))
	switch {
	case in.Share == 0 && !in.HasReadyEndpoint:
		what = "no upstream of the new version had been announced"
	case in.Share == 0:
		what = "no share had been given"
	case in.Finding != judge.Good:
		what = fmt.Sprintf("about %d more calls of evidence were needed at %s", in.CallsNeeded, percent(in.Share))
	}
	return Decision{
		action: TakeBack,
		reason: fmt.Sprintf("out of time: %s at %s, the latest moment for this step; ask again with a later deadline",
			what, latest.UTC().Format(time.TimeOnly)),
	}
}

// withDeadlineWarning returns the decision marked with a warning if the deadline is unlikely to be met.
func (in Input) withDeadlineWarning(d Decision, remaining time.Duration) Decision {
	left := in.Deadline.Sub(in.Now)
	if remaining <= left {
		return d
	}
	d.deadlineAtRisk = true
	need := "more evidence than the present rate of calls can give"
	if remaining < math.MaxInt64 {
		need = seconds(remaining)
	}
	d.nextStep += fmt.Sprintf("; the deadline in %s is not safe: about %s are needed", seconds(left), need)
	return d
}

// nextShare returns the next share and the number of changes of the share left, this one included.
func (in Input) nextShare() (next, stepsLeft int) {
	for i, s := range steps {
		if s > in.Share {
			return s, len(steps) - i
		}
	}
	return share.FullPermille, 0
}

// minTimeToDeadline returns the shortest time in which the changes of the share that are left can be made.
func (in Input) minTimeToDeadline(stepsLeft int) time.Duration {
	return time.Duration(stepsLeft-1)*minDwell + in.Settle + finalWriteReserve
}

// dwell returns how long to stay at the present share, from the time that was left when it was set.
func (in Input) dwell(stepsLeft int) time.Duration {
	left := in.Deadline.Add(-in.minTimeToDeadline(stepsLeft)).Sub(in.ShareSetAt)
	return min(max(time.Duration(plannedTimeFraction*float64(left)/float64(stepsLeft)), minDwell), maxDwell)
}

// timeToFinish estimates the time until the rollout is done, with good evidence at the present rate of calls.
func (in Input) timeToFinish(stepsLeft int) time.Duration {
	total := in.Settle + finalWriteReserve + in.timeForCalls(in.CallsNeeded, in.Share)
	for _, s := range steps[len(steps)-stepsLeft:] {
		if s < share.FullPermille {
			total = saturatingAdd(total, max(minDwell, in.timeForCalls(judge.EstimateCallsNeeded(s), s)))
		}
	}
	return total
}

// timeForCalls returns the time in which the new version gets this number of calls.
func (in Input) timeForCalls(calls uint64, permille int) time.Duration {
	if calls == 0 || permille == 0 || in.CallRate == 0 {
		return 0 // no rate is known before the first calls
	}
	d := float64(calls) / (in.CallRate * float64(permille) / share.FullPermille) * float64(time.Second)
	return time.Duration(min(d, math.MaxInt64/2))
}

func saturatingAdd(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

func (in Input) waitSuffix() string {
	d := in.timeForCalls(in.CallsNeeded, in.Share)
	if d == 0 {
		return ""
	}
	return ", about " + seconds(d)
}

func percent(permille int) string { return fmt.Sprintf("%.4g%%", float64(permille)/10) }

func seconds(d time.Duration) string { return fmt.Sprintf("%d s", int64(math.Ceil(d.Seconds()))) }
