package roller_test

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/roller/trial"
	"wisteriaspoke.example/mesh/share"
)

// withoutEpochs sets the epoch of every share in a head to zero.
func withoutEpochs(e event.Event) event.Event {
	if e.Kind() != event.StoreReplied || e.Object().Plural() != head.Plural {
		return e
	}
	h, err := head.Decode(e.Object())
	if err != nil {
		return e
	}
	for service, s := range h.Shares() {
		h = h.WithShare(service, share.New(s.Stable(), s.Candidate(), s.Permille(), s.Rollout(), 0), h.Token(), h.Writer())
	}
	data, err := h.Encode()
	if err != nil {
		return e
	}
	return event.NewStoreReplied(e.ID(), []object.Object{e.Object().WithSpec(data)}, e.Revision(), e.Err())
}

// Guards against an oracle that misses violations: it must detect a holder that does not check the epoch.
func TestOracleFindsForgottenEpochCheck(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		tr := newTrial(seed)
		stopClockOfHolder(true)(tr)
		tr.Deadline = 200 * time.Second
		if faults := tr.Run().Violations(); len(faults) > 0 {
			t.Logf("seed %d: %s", seed, faults[0])
			return
		}
	}
	t.Errorf("no fault was found in %d seeds", *seeds)
}

// Guards against an oracle that misses calls after a verdict: it must detect nodes that ignore the verdict.
func TestOracleFindsIgnoredVerdict(t *testing.T) {
	tr := newTrial(1)
	tr.New = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })
	tr.IgnoreVerdicts = true
	tr.InjectFaults = func(t *trial.Trial) {
		t.At(25*time.Second, func() { t.Simulator().Store().SetUnavailable(true) })
	}
	if len(tr.Run().Violations()) == 0 {
		t.Error("no fault was found")
	}
}
