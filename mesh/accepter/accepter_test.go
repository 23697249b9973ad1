package accepter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/checker"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// newOperator returns an accepter for one operator, with numbered tokens and pauses that do not wait.
func newOperator(f *fakeStore, name string) *Accepter {
	drawn := 0
	a := New(f)
	a.NewToken = func() string {
		drawn++
		return fmt.Sprintf("%s-%d", name, drawn)
	}
	a.Pause = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	a.Jitter = func(d time.Duration) time.Duration { return d }
	return a
}

func mustPreset(name, version string) preset.Preset {
	p, err := checker.New().Check([]byte(fmt.Sprintf(`{"name": %q, "services": [{"name": "a", "version": %q}]}`, name, version)))
	if err != nil {
		panic(err)
	}
	return p
}

// storeWithPresets returns a store with the presets day (in force), night and peak.
func storeWithPresets() *fakeStore {
	f := newFakeStore()
	setup := newOperator(f, "setup")
	for i, name := range []string{"day", "night", "peak"} {
		if _, err := setup.Apply(context.Background(), mustPreset(name, fmt.Sprint(i+1)), "setup"); err != nil {
			panic(err)
		}
	}
	if _, err := setup.Use(context.Background(), "day", "setup"); err != nil {
		panic(err)
	}
	f.calls = nil
	return f
}

// edits are changes that others make to the store between two requests of a case.
var edits = map[string]func(*fakeStore){
	"rival": func(f *fakeStore) {
		f.change(head.Plural, head.Name, func(o object.Object) []byte {
			return editHead(o, func(h head.Head) head.Head {
				return h.WithPreset("night", map[string]string{"a": "n"}, fmt.Sprintf("rival-%d", h.Version()), "rival")
			})
		})
	},
	"share": func(f *fakeStore) {
		f.change(head.Plural, head.Name, func(o object.Object) []byte {
			return editHead(o, func(h head.Head) head.Head {
				s := share.New("1", "2", int(h.Version()), "m", 1)
				return h.WithShare("a", s, fmt.Sprintf("holder-%d", h.Version()), "holder")
			})
		})
	},
	"reapply": func(f *fakeStore) {
		f.change(preset.Plural, "peak", func(o object.Object) []byte {
			s, _ := preset.Decode(o)
			data, _ := s.Next(mustPreset("peak", "9"), fmt.Sprintf("rival-%d", s.Revision()), "rival").Encode()
			return data
		})
	},
	"steal": func(f *fakeStore) {
		f.change(rollout.Plural, "a", func(object.Object) []byte {
			data, _ := rollout.New(rollout.Fields{ID: "other", Service: "a", To: "7", Writer: "rival"}).Encode()
			return data
		})
	},
	"widen": func(f *fakeStore) {
		f.change(rollout.Plural, "a", func(o object.Object) []byte {
			r, _ := rollout.Decode(o)
			data, _ := r.WithState(rollout.Widening, 250, noon, "no failures", "").WithWrite("holder", "holder").Encode()
			return data
		})
	},
	"finish": func(f *fakeStore) {
		f.change(rollout.Plural, "a", func(o object.Object) []byte {
			r, _ := rollout.Decode(o)
			data, _ := r.WithState(rollout.Done, 1000, noon, "", "").WithWrite("holder", "holder").Encode()
			return data
		})
	},
	"remove": func(f *fakeStore) { delete(f.objects, "heads/active") },
	"nopart": func(f *fakeStore) {
		for key, o := range f.objects {
			if o.Plural() == preset.DefinitionPlural {
				delete(f.objects, key)
			}
		}
	},
}

func editHead(o object.Object, edit func(head.Head) head.Head) []byte {
	h, err := head.Decode(o)
	if err != nil {
		panic(err)
	}
	data, err := edit(h).Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// run runs one line of a case: an operation, then the store's behaviour for each of its requests. The name of an edit,
// or "end" for the end of the context, takes place before the next request; a last behaviour "x..." is repeated.
func run(f *fakeStore, line string) string {
	operation, plan, _ := strings.Cut(line, "|")
	steps := strings.Fields(plan)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.plan = func(string) string {
		for len(steps) > 0 {
			step := steps[0]
			if repeated, ok := strings.CutSuffix(step, "..."); ok {
				return repeated
			}
			steps = steps[1:]
			if edit, ok := edits[step]; ok {
				edit(f)
				continue
			}
			if step == "end" {
				cancel()
				continue
			}
			return step
		}
		return succeed
	}
	a := newOperator(f, "me")
	// The grace ends at the third pause after the end of the context instead of after a time.
	a.Grace = time.Hour
	grace := 3
	a.Pause = func(inner context.Context, _ time.Duration) error {
		if ctx.Err() != nil {
			grace--
		}
		if grace == 0 {
			return context.DeadlineExceeded
		}
		return inner.Err()
	}
	r := &Rollouts{Accepter: a, Now: func() time.Time { return noon }}
	w := strings.Fields(operation)
	switch w[0] {
	case "apply":
		s, err := a.Apply(ctx, mustPreset(w[1], w[2]), "me")
		return formatOutcome(fmt.Sprintf("revision %d", s.Revision()), err)
	case "use":
		v, err := a.Use(ctx, w[1], "me")
		return formatOutcome(fmt.Sprintf("version %d", v), err)
	case "ask":
		by, err := time.ParseDuration(w[3])
		if err != nil {
			panic(err)
		}
		m, err := r.Create(ctx, Request{Service: w[1], Version: w[2], Deadline: noon.Add(by), Writer: "me"})
		data, _ := m.Encode()
		return formatOutcome(string(data), err)
	case "takeback":
		m, err := r.TakeBack(ctx, w[1], "me")
		return formatOutcome(fmt.Sprintf("cancel %t", m.CancelRequested()), err)
	}
	return "unknown operation"
}

func formatOutcome(good string, err error) string {
	if err != nil {
		return fmt.Sprintf("%s: %v", fault.KindOf(err), err)
	}
	return "accepted: " + good
}

// Guards against reporting success for a write that had no effect or failure for one that had, and against sending a
// write again without its condition.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/cases/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no cases", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			f := storeWithPresets()
			var b strings.Builder
			for line := range strings.Lines(string(data)) {
				fmt.Fprintf(&b, "# %s%s\n", line, run(f, line))
				for _, c := range f.calls {
					fmt.Fprintf(&b, "  %s\n", c)
				}
				f.calls = nil
			}
			for _, h := range f.heads {
				fmt.Fprintf(&b, "head %d %s %s\n", h.Version(), h.Preset(), h.Token())
			}
			goldie.New(t).Assert(t, filepath.Join("cases", name), []byte(b.String()))
		})
	}
}
