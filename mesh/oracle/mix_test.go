package oracle

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// init sets the default seed and number of plans; scripts/fuzz overrides them with flags.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// run combines a plan with the seed of its fleet.
type run struct {
	Seed uint64
	Plan []Action
}

// randomRuns generates plans. One action in four has no wait before the next one.
var randomRuns = rapid.Custom(func(t *rapid.T) run {
	action := rapid.Custom(func(t *rapid.T) Action {
		a := Action{Kind: rapid.SampledFrom(Kinds).Draw(t, "kind"), Subject: rapid.IntRange(0, 17).Draw(t, "subject")}
		if rapid.IntRange(0, 3).Draw(t, "together") > 0 {
			a.WaitMillis = rapid.IntRange(1, 6000).Draw(t, "wait")
		}
		return a
	})
	return run{
		Seed: rapid.Uint64Range(1, 1<<32).Draw(t, "seed"), Plan: rapid.SliceOfN(action, 1, 24).Draw(t, "plan"),
	}
})

func (r run) String() string {
	var b strings.Builder
	for _, a := range r.Plan {
		b.WriteString("\n  " + a.String())
	}
	return b.String()
}

// Guards against combinations of failures and operators' actions that violate a guarantee.
func TestMix(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := randomRuns.Draw(t, "run")
		for _, f := range New(r.Seed).Run(r.Plan) {
			t.Error(f)
		}
	})
}

// Guards against an oracle that reports violations in a fleet without failures.
func TestQuiet(t *testing.T) {
	t.Parallel()
	for _, f := range New(1).Run([]Action{{UsePreset, 1, 5000}, {UsePreset, 2, 5000}, {MoveGood, 0, 70000}}) {
		t.Error(f)
	}
}
