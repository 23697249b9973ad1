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

// schedule lets one of several operators at a time make one store request, in an order that rapid draws.
type schedule struct {
	ready chan chan struct{} // operators that wait for their turn
	ended chan struct{}      // one for each operator that is done
}

// turn blocks until the schedule lets the caller go on.
func (s *schedule) turn() {
	released := make(chan struct{})
	s.ready <- released
	<-released
}

// run lets the operators go on one by one until all of them are done.
func (s *schedule) run(t *rapid.T, operators int) {
	var waiting []chan struct{}
	for operators > 0 {
		// The order is decided only when every operator that is not done waits for its turn.
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

// attempted is one operator's write and what it was told.
type attempted struct {
	writer  string
	preset  string
	version uint64
	err     error
}

// race lets several operators run the write at the same time on a store whose requests fail as rapid draws, and
// returns what each was told.
func race(t *rapid.T, f *fake, write func(a *Accepter, w *attempted)) []attempted {
	faults := rapid.SliceOfN(rapid.SampledFrom([]string{
		answer, answer, answer, answer, out, busy, gone, drop, late, "share",
	}), 0, 40).Draw(t, "faults")
	f.plan = func(string) string {
		if len(faults) == 0 {
			return answer
		}
		what := faults[0]
		faults = faults[1:]
		if edit, ok := edits[what]; ok {
			edit(f)
			return answer
		}
		return what
	}
	s := &schedule{ready: make(chan chan struct{}), ended: make(chan struct{})}
	f.turn = s.turn
	all := make([]attempted, rapid.IntRange(2, 4).Draw(t, "operators"))
	for i := range all {
		all[i].writer = fmt.Sprintf("w%d", i)
		all[i].preset = rapid.SampledFrom([]string{"day", "night", "peak"}).Draw(t, "preset")
		go func() {
			write(operator(f, all[i].writer), &all[i])
			s.ended <- struct{}{}
		}()
	}
	s.run(t, len(all))
	return all
}

// Guards against two presets in force at a version, an accepted preset that is not in the order of versions, a write
// that takes effect twice, and a loser that is told nothing of the winner.
func TestRacingUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := prepared()
		first := len(f.heads)
		all := race(t, f, func(a *Accepter, w *attempted) {
			w.version, w.err = a.Use(context.Background(), w.preset, w.writer)
		})
		order(t, f.heads)
		for _, a := range all {
			told(t, f.heads[first:], a)
		}
	})
}

// Guards against a manifest that is stored twice, or that an operator is told of wrongly.
func TestRacingApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := prepared()
		first := len(f.presets)
		all := race(t, f, func(a *Accepter, w *attempted) {
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

// order fails if a version was skipped, repeated or written twice.
func order(t *rapid.T, heads []head.Head) {
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

// told fails if what an operator was told is not what the heads show.
func told(t *rapid.T, heads []head.Head, a attempted) {
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
