package oracle

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// init fixes the seed and the number of plans of a normal run; the flags of scripts/fuzz replace them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// run is a plan with the seed of the fleet that performs it.
type run struct {
	Seed uint64
	Plan []Action
}

// runs draws plans. Every fourth action comes together with the next one.
var runs = rapid.Custom(func(t *rapid.T) run {
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

// Guards against mixes of failures and operators' actions after which a promise is broken.
func TestMix(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := runs.Draw(t, "run")
		for _, f := range New(r.Seed).Run(r.Plan) {
			t.Error(f)
		}
	})
}

// Guards against an oracle that objects to a fleet without any failure.
func TestQuiet(t *testing.T) {
	t.Parallel()
	for _, f := range New(1).Run([]Action{{UsePreset, 1, 5000}, {UsePreset, 2, 5000}, {MoveGood, 0, 70000}}) {
		t.Error(f)
	}
}
