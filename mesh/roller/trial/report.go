package trial

import (
	"time"

	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

// Report is what was seen of one trial.
type Report struct {
	faults  []string
	rollout rollout.Rollout
	share   share.Share
	took    time.Duration
	inTime  bool
	harm    float64
	dense   float64
	reacted time.Duration
	stopped time.Duration
	verdict bool
	states  []string
}

func (t *Trial) report() Report {
	r := Report{
		faults: t.oracle.faults, rollout: t.Rollout(), took: t.oracle.ended.Sub(t.asked),
		harm:  float64(t.traffic.harmed) / (t.Rate * t.Deadline.Seconds()),
		dense: float64(t.traffic.harmed) / float64(max(t.traffic.calls, 1)), verdict: !t.oracle.verdict.IsZero(),
		states: t.oracle.states, share: t.oracle.share,
	}
	r.inTime = t.oracle.finished && !t.oracle.ended.After(t.asked.Add(t.Deadline))
	if r.verdict {
		r.stopped = max(0, t.traffic.latest.Sub(t.oracle.verdict))
		// The verdict comes before the shadow judge's when the noise of its windows differs.
		evident := t.oracle.verdict
		if e := t.traffic.evident; !e.IsZero() && e.Before(evident) {
			evident = e
		}
		r.reacted = max(0, t.traffic.latest.Sub(evident))
	}
	return r
}

// Violations returns the broken promises.
func (r Report) Violations() []string { return r.faults }

// Rollout returns the rollout as it ended.
func (r Report) Rollout() rollout.Rollout { return r.rollout }

// Share returns the share that stood in the head at the end.
func (r Report) Share() share.Share { return r.share }

// Duration returns the time from the request to the end.
func (r Report) Duration() time.Duration { return r.took }

// DoneInTime reports whether the rollout was done by its deadline.
func (r Report) DoneInTime() bool { return r.inTime && r.rollout.State() == rollout.Done }

// TakenBack reports whether the rollout was taken back.
func (r Report) TakenBack() bool { return r.rollout.State() == rollout.TakenBack }

// HarmedShare returns the share of the service's calls from the request to the deadline that the old version would have served
// and the new one did not, or served slower than the old version's p95.
func (r Report) HarmedShare() float64 { return r.harm }

// HarmedShareUntilEnd returns the same calls as a share of the calls from the request to the rollout's end, which comes early
// for a bad version.
func (r Report) HarmedShareUntilEnd() float64 { return r.dense }

// ReactionTime returns the time from when the calls made so far proved the version bad to its last call.
func (r Report) ReactionTime() time.Duration { return r.reacted }

// VerdictToLastCall returns the time from the verdict to the version's last call.
func (r Report) VerdictToLastCall() time.Duration { return r.stopped }

// HasVerdict reports whether a verdict was reached.
func (r Report) HasVerdict() bool { return r.verdict }

// StateHistory returns the states that the rollout passed, with the time and the share.
func (r Report) StateHistory() []string { return r.states }
