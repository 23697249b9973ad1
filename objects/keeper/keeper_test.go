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

// model is a plain map beside the keeper, with the log of all changes.
type model struct {
	keeper *Keeper
	values map[string]string // name to "revision spec"
	log    []string          // the changes of revision 1 and up
	watch  *Watch
	read   int // changes of the log that the watch has returned
}

// TestModel guards against a write that is lost, applied on a stale revision or missing from a watch, and against a
// watch that skips a part of the history without saying so.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			keeper: &Keeper{History: rapid.IntRange(1, 8).Draw(t, "history"), HistoryBytes: MaxSpec},
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

func name(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name") }

// revision draws the standing revision of a name, or another.
func (m *model) revision(t *rapid.T, name string) string {
	standing, _, _ := strings.Cut(m.values[name], " ")
	return rapid.SampledFrom([]string{standing, standing, "1", "999"}).Draw(t, "revision")
}

func (m *model) create(t *rapid.T) {
	n := name(t)
	o, err := m.keeper.Create(object.New("heads", n, "", []byte(strconv.Itoa(len(m.log)))))
	_, stands := m.values[n]
	if stands {
		want(t, err, fault.Conflict)
		return
	}
	want(t, err, "")
	m.wrote(event.Added, o)
}

func (m *model) update(t *rapid.T) {
	n := name(t)
	revision := m.revision(t, n)
	o, err := m.keeper.Update(object.New("heads", n, revision, []byte(strconv.Itoa(len(m.log)))))
	kind := m.expect(n, revision)
	want(t, err, kind)
	if kind == "" {
		m.wrote(event.Modified, o)
	}
}

func (m *model) delete(t *rapid.T) {
	n := name(t)
	revision := rapid.SampledFrom([]string{"", m.revision(t, n)}).Draw(t, "condition")
	o, err := m.keeper.Delete(object.New("heads", n, revision, nil))
	kind := m.expect(n, revision)
	if _, stands := m.values[n]; stands && revision == "" {
		kind = ""
	}
	want(t, err, kind)
	if kind == "" {
		m.wrote(event.Deleted, o)
	}
}

// expect returns the kind of fault of a write conditional on the revision.
func (m *model) expect(name, revision string) fault.Kind {
	v, stands := m.values[name]
	switch {
	case !stands:
		return fault.NotFound
	case !strings.HasPrefix(v, revision+" "):
		return fault.Conflict
	}
	return ""
}

func (m *model) wrote(c event.Change, o object.Object) {
	m.log = append(m.log, fmt.Sprintf("%s %s %s %s", c, o.Name(), o.Revision(), o.Spec()))
	if c == event.Deleted {
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
		want(t, err, fault.Gone)
		return
	}
	want(t, err, "")
	m.watch, m.read = w, from
}

// follow reads the watch to its end.
func (m *model) follow(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Next returns what stands and does not wait
	var got []string
	for {
		c, err := m.watch.Next(ctx)
		if err == context.Canceled {
			break
		}
		if len(m.log)-m.read > m.keeper.History {
			want(t, err, fault.Gone)
			m.rewatch(t, strconv.Itoa(len(m.log)))
			return
		}
		want(t, err, "")
		o := c.Object()
		got = append(got, fmt.Sprintf("%s %s %s %s", c.Type(), o.Name(), o.Revision(), o.Spec()))
	}
	if !slices.Equal(got, m.log[m.read:]) {
		t.Fatalf("the watch has %q, the model %q", got, m.log[m.read:])
	}
	m.read = len(m.log)
}

func want(t *rapid.T, err error, kind fault.Kind) {
	if fault.KindOf(err) != kind || (kind == "" && err != nil) {
		t.Fatalf("got %v, want a fault of kind %q", err, kind)
	}
}
