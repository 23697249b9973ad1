package keeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// model holds the expected objects and changes of a keeper, to compare with what the keeper returns.
type model struct {
	keeper    *Keeper
	values    map[string]string // name to "revision spec"
	log       []string          // all changes, starting at revision 1
	watch     *Watch
	readCount int // log entries that the watch has returned
}

// TestKeeperMatchesModel guards against a write that is lost, applied at a stale revision or missing from a watch, and
// against a watch that skips changes that have left the history instead of failing with Gone.
func TestKeeperMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			keeper: &Keeper{History: rapid.IntRange(1, 8).Draw(t, "history"), HistoryBytes: MaxSpecSize},
			values: map[string]string{},
		}
		m.rewatch(t, "0")
		t.Repeat(map[string]func(*rapid.T){
			"":       m.compare,
			"create": m.create,
			"update": m.update,
			"delete": m.delete,
			"follow": m.follow,
			"rewatch": func(t *rapid.T) {
				m.rewatch(t, strconv.Itoa(rapid.IntRange(1, len(m.log)+1).Draw(t, "revision")))
			},
		})
	})
}

func drawName(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name") }

// drawRevision draws the current revision of a name, or a different one.
func (m *model) drawRevision(t *rapid.T, name string) string {
	current, _, _ := strings.Cut(m.values[name], " ")
	return rapid.SampledFrom([]string{current, current, "1", "999"}).Draw(t, "revision")
}

func (m *model) create(t *rapid.T) {
	n := drawName(t)
	o, err := m.keeper.Create(object.New("heads", n, "", []byte(strconv.Itoa(len(m.log)))))
	_, exists := m.values[n]
	if exists {
		requireFault(t, err, fault.Conflict)
		return
	}
	requireFault(t, err, "")
	m.recordWrite(event.Added, o)
}

func (m *model) update(t *rapid.T) {
	n := drawName(t)
	revision := m.drawRevision(t, n)
	o, err := m.keeper.Update(object.New("heads", n, revision, []byte(strconv.Itoa(len(m.log)))))
	kind := m.expectedFault(n, revision)
	requireFault(t, err, kind)
	if kind == "" {
		m.recordWrite(event.Modified, o)
	}
}

func (m *model) delete(t *rapid.T) {
	n := drawName(t)
	revision := rapid.SampledFrom([]string{"", m.drawRevision(t, n)}).Draw(t, "condition")
	o, err := m.keeper.Delete(object.New("heads", n, revision, nil))
	kind := m.expectedFault(n, revision)
	if _, exists := m.values[n]; exists && revision == "" {
		kind = ""
	}
	requireFault(t, err, kind)
	if kind == "" {
		m.recordWrite(event.Deleted, o)
	}
}

// expectedFault returns the kind of fault that a write with the revision must fail with, empty for none.
func (m *model) expectedFault(name, revision string) fault.Kind {
	v, exists := m.values[name]
	switch {
	case !exists:
		return fault.NotFound
	case !strings.HasPrefix(v, revision+" "):
		return fault.Conflict
	}
	return ""
}

func (m *model) recordWrite(changeType event.Change, o object.Object) {
	m.log = append(m.log, fmt.Sprintf("%s %s %s %s", changeType, o.Name(), o.Revision(), o.Spec()))
	if changeType == event.Deleted {
		delete(m.values, o.Name())
		return
	}
	m.values[o.Name()] = fmt.Sprintf("%s %s", o.Revision(), o.Spec())
}

func (m *model) compare(t *rapid.T) {
	objects, revision := m.keeper.List("heads")
	got := map[string]string{}
	for _, o := range objects {
		got[o.Name()] = fmt.Sprintf("%s %s", o.Revision(), o.Spec())
	}
	if !maps.Equal(got, m.values) || revision != strconv.Itoa(len(m.log)) {
		t.Fatalf("the keeper has %v at %s, the model %v at %d", got, revision, m.values, len(m.log))
	}
}

func (m *model) rewatch(t *rapid.T, revision string) {
	w, err := m.keeper.Watch("heads", "", revision)
	from, _ := strconv.Atoi(revision)
	if from > len(m.log) || (from > 0 && len(m.log)-from > m.keeper.History) {
		requireFault(t, err, fault.Gone)
		return
	}
	requireFault(t, err, "")
	m.watch, m.readCount = w, from
}

// follow reads all changes that the watch can return now.
func (m *model) follow(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Next returns available changes and does not wait
	var got []string
	for {
		c, err := m.watch.Next(ctx)
		if err == context.Canceled {
			break
		}
		if len(m.log)-m.readCount > m.keeper.History {
			requireFault(t, err, fault.Gone)
			m.rewatch(t, strconv.Itoa(len(m.log)))
			return
		}
		requireFault(t, err, "")
		o := c.Object()
		got = append(got, fmt.Sprintf("%s %s %s %s", c.Type(), o.Name(), o.Revision(), o.Spec()))
	}
	if !slices.Equal(got, m.log[m.readCount:]) {
		t.Fatalf("the watch has %q, the model %q", got, m.log[m.readCount:])
	}
	m.readCount = len(m.log)
}

// requireFault fails the test unless err is a fault of the kind; an empty kind requires a nil error.
func requireFault(t *rapid.T, err error, kind fault.Kind) {
	if fault.KindOf(err) != kind || (kind == "" && err != nil) {
		t.Fatalf("got %v, want a fault of kind %q", err, kind)
	}
}

// TestRestoreEndsWatches guards against a watch that goes on over a restore and skips changes with revisions that it has
// seen before.
func TestRestoreEndsWatches(t *testing.T) {
	k := &Keeper{History: 8, HistoryBytes: MaxSpecSize}
	write := func(name string) {
		t.Helper()
		if _, err := k.Create(object.New("heads", name, "", nil)); err != nil {
			t.Fatal(err)
		}
	}
	write("kept")
	k.Save()
	write("lost")
	w, err := k.Watch("heads", "", "2")
	if err != nil {
		t.Fatal(err)
	}
	k.Restore()
	write("new")
	write("newer")
	if _, err := w.Next(t.Context()); fault.KindOf(err) != fault.Gone {
		t.Errorf("a watch from before the restore returns %v, want a fault of kind Gone", err)
	}
	if objects, revision := k.List("heads"); len(objects) != 3 || revision != "3" {
		t.Errorf("after the restore and two writes the store has %v at %s", objects, revision)
	}
}
