package accepter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
)

// schedule lets several operators make store requests one at a time, in an order that rapid draws.
type schedule struct {
	ready chan chan struct{} // operators waiting for their turn
	ended chan struct{}      // receives one value for each operator that is done
}

// turn blocks until the schedule releases the caller.
func (s *schedule) turn() {
	released := make(chan struct{})
	s.ready <- released
	<-released
}

// run releases the operators one at a time until all of them are done.
func (s *schedule) run(t *rapid.T, operators int) {
	var waiting []chan struct{}
	for operators > 0 {
		// The next operator is drawn only when every operator that is not done is waiting for its turn.
		for len(waiting) < operators {
			select {
			case w := <-s.ready:
				waiting = append(waiting, w)
			case <-s.ended:
				operators--
			}
		}
		if operators == 0 {
			return
		}
		i := rapid.IntRange(0, len(waiting)-1).Draw(t, "next")
		next := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		close(next)
	}
}

// racingWrite is one operator's write and the outcome that the operator received.
type racingWrite struct {
	writer  string
	preset  string
	version uint64
	err     error
}

// race lets several operators run the write concurrently on a store whose requests fail as rapid draws, and returns the
// outcome that each received.
func race(t *rapid.T, f *fakeStore, write func(a *Accepter, w *racingWrite)) []racingWrite {
	faults := rapid.SliceOfN(rapid.SampledFrom([]string{
		succeed, succeed, succeed, succeed, unavailable, throttled, loseAnswer, loseRequest, delayEffect, "share",
	}), 0, 40).Draw(t, "faults")
	f.plan = func(string) string {
		if len(faults) == 0 {
			return succeed
		}
		behaviour := faults[0]
		faults = faults[1:]
		if edit, ok := edits[behaviour]; ok {
			edit(f)
			return succeed
		}
		return behaviour
	}
	s := &schedule{ready: make(chan chan struct{}), ended: make(chan struct{})}
	f.turn = s.turn
	all := make([]racingWrite, rapid.IntRange(2, 4).Draw(t, "operators"))
	for i := range all {
		all[i].writer = fmt.Sprintf("w%d", i)
		all[i].preset = rapid.SampledFrom([]string{"day", "night", "peak"}).Draw(t, "preset")
		go func() {
			write(newOperator(f, all[i].writer), &all[i])
			s.ended <- struct{}{}
		}()
	}
	s.run(t, len(all))
	return all
}

// Guards against two presets in force at a version, an accepted preset that is not in the order of versions, a write
// that takes effect twice, and a conflict error that does not name the other writer.
func TestRacingUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := storeWithPresets()
		first := len(f.heads)
		all := race(t, f, func(a *Accepter, w *racingWrite) {
			w.version, w.err = a.Use(context.Background(), w.preset, w.writer)
		})
		checkVersions(t, f.heads)
		for _, a := range all {
			checkOutcome(t, f.heads[first:], a)
		}
	})
}

// Guards against a manifest that is stored twice, or whose outcome is reported wrongly to an operator.
func TestRacingApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := storeWithPresets()
		first := len(f.presets)
		all := race(t, f, func(a *Accepter, w *racingWrite) {
			s, err := a.Apply(context.Background(), mustPreset(w.preset, "9"), w.writer)
			w.version, w.err = s.Revision(), err
		})
		for _, a := range all {
			var written []uint64
			for _, s := range f.presets[first:] {
				if s.Writer() == a.writer {
					written = append(written, s.Revision())
				}
			}
			switch kind := fault.KindOf(a.err); {
			case len(written) > 1:
				t.Fatalf("%s wrote revisions %v", a.writer, written)
			case a.err == nil && !slices.Equal(written, []uint64{a.version}):
				t.Fatalf("%s was told of revision %d and wrote %v", a.writer, a.version, written)
			case kind == fault.Conflict && len(written) > 0:
				t.Fatalf("%s was refused and wrote %v: %v", a.writer, written, a.err)
			case a.err != nil && kind != fault.Conflict && kind != fault.MayHaveRun:
				t.Fatalf("%s was told %v", a.writer, a.err)
			}
		}
	})
}

// checkVersions fails if a version was skipped, repeated or written twice.
func checkVersions(t *rapid.T, heads []head.Head) {
	tokens := map[string]bool{}
	for i, h := range heads {
		if h.Version() != uint64(i+1) {
			t.Fatalf("head %d has version %d", i+1, h.Version())
		}
		if tokens[h.Token()] {
			t.Fatalf("token %s took effect twice", h.Token())
		}
		tokens[h.Token()] = true
	}
}

// checkOutcome fails if the outcome that an operator received contradicts the heads.
func checkOutcome(t *rapid.T, heads []head.Head, a racingWrite) {
	at := slices.IndexFunc(heads, func(h head.Head) bool { return h.Writer() == a.writer })
	switch fault.KindOf(a.err) {
	case "":
		if a.err != nil || at < 0 || heads[at].Version() != a.version || heads[at].Preset() != a.preset {
			t.Fatalf("%s was told that %s is version %d (%v), heads %v", a.writer, a.preset, a.version, a.err, heads)
		}
	case fault.Conflict:
		if at >= 0 {
			t.Fatalf("%s was refused, but wrote version %d: %v", a.writer, heads[at].Version(), a.err)
		}
		named := slices.ContainsFunc(heads, func(h head.Head) bool {
			return strings.HasPrefix(a.err.Error(), fmt.Sprintf("%s put preset %q in force as version %d ", h.Writer(), h.Preset(), h.Version()))
		})
		if !named {
			t.Fatalf("%s was refused without the winner's name: %v", a.writer, a.err)
		}
	default:
		t.Fatalf("%s got an outcome that is neither accepted nor refused: %v", a.writer, a.err)
	}
}
