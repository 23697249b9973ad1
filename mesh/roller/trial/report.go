package trial

import (
	"time"

	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

// Report holds the results of one trial.
type Report struct {
	violations          []string
	rollout             rollout.Rollout
	share               share.Share
	duration            time.Duration
	inTime              bool
	harmedShare         float64
	harmedShareUntilEnd float64
	reactionTime        time.Duration
	verdictToLastCall   time.Duration
	hasVerdict          bool
	stateHistory        []string
}

func (t *Trial) report() Report {
	r := Report{
		violations: t.oracle.violations, rollout: t.Rollout(), duration: t.oracle.finishedAt.Sub(t.requestedAt),
		harmedShare:         float64(t.traffic.harmed) / (t.Rate * t.Deadline.Seconds()),
		harmedShareUntilEnd: float64(t.traffic.harmed) / float64(max(t.traffic.calls, 1)),
		hasVerdict:          !t.oracle.verdictAt.IsZero(),
		stateHistory:        t.oracle.stateHistory, share: t.oracle.share,
	}
	r.inTime = t.oracle.finished && !t.oracle.finishedAt.After(t.requestedAt.Add(t.Deadline))
	if r.hasVerdict {
		r.verdictToLastCall = max(0, t.traffic.latestNewCall.Sub(t.oracle.verdictAt))
		// The verdict may precede the shadow judge's, since the noise in its windows differs.
		evident := t.oracle.verdictAt
		if e := t.traffic.evidentAt; !e.IsZero() && e.Before(evident) {
			evident = e
		}
		r.reactionTime = max(0, t.traffic.latestNewCall.Sub(evident))
	}
	return r
}

// Violations returns the violated guarantees.
func (r Report) Violations() []string { return r.violations }

// Rollout returns the rollout in its final state.
func (r Report) Rollout() rollout.Rollout { return r.rollout }

// Share returns the share in the head at the end.
func (r Report) Share() share.Share { return r.share }

// Duration returns the time from the request to the end.
func (r Report) Duration() time.Duration { return r.duration }

// DoneInTime reports whether the rollout was done by its deadline.
func (r Report) DoneInTime() bool { return r.inTime && r.rollout.State() == rollout.Done }

// TakenBack reports whether the rollout was taken back.
func (r Report) TakenBack() bool { return r.rollout.State() == rollout.TakenBack }

// HarmedShare returns the share of the service's calls from the request to the deadline that the old version would have
// served and the new one failed, or served slower than the old version's p95.
func (r Report) HarmedShare() float64 { return r.harmedShare }

// HarmedShareUntilEnd returns the same calls as a share of the calls from the request to the rollout's end, which is
// early for a bad version.
func (r Report) HarmedShareUntilEnd() float64 { return r.harmedShareUntilEnd }

// ReactionTime returns the time from when the calls made so far showed that the version is bad to its last call.
func (r Report) ReactionTime() time.Duration { return r.reactionTime }

// VerdictToLastCall returns the time from the verdict to the version's last call.
func (r Report) VerdictToLastCall() time.Duration { return r.verdictToLastCall }

// HasVerdict reports whether a verdict was reached.
func (r Report) HasVerdict() bool { return r.hasVerdict }

// StateHistory returns the states of the rollout in order, each with its time and share.
func (r Report) StateHistory() []string { return r.stateHistory }
