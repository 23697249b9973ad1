package guard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/mark"
)

// table holds marks by crash and fingerprint. A mark only ever changes from counting to cleared, so that nodes which
// have heard the same marks in any order agree.
type table struct {
	sequence uint64
	records  map[identity]*record
	prints   map[string][]*record
	order    order
}

type identity struct {
	crash string
	print string
}

type record struct {
	identity
	fields   mark.Fields
	heard    time.Time
	end      time.Time
	added    uint64 // sequence of the first change
	sequence uint64 // of the last change
	index    int    // in the order
}

// count returns how many crashes count against the call.
func (t *table) count(now time.Time, print string) int {
	n := 0
	for _, r := range t.prints[print] {
		if !r.fields.Cleared && now.Before(r.end) {
			n++
		}
	}
	return n
}

// merge takes a mark and reports whether it changed the table.
func (t *table) merge(now time.Time, m mark.Mark) bool {
	f := m.Fields()
	t.expire(now)
	// A mark near its end is not taken, or nodes whose copies end at slightly different times would pass it to each
	// other again and again.
	if f.TimeLeft < MaxSpreadTime || f.TimeLeft > MarkLifetime || len(f.Fingerprint) != printSize {
		return false
	}
	i := identity{crash: m.CrashID(), print: f.Fingerprint}
	if r, known := t.records[i]; known {
		if !f.Cleared || r.fields.Cleared {
			return false
		}
		r.fields.Cleared = true
		t.changed(r)
		return true
	}
	r := &record{identity: i, fields: f, heard: now, end: now.Add(f.TimeLeft)}
	if len(t.records) >= maxMarks {
		if r.end.Before(t.order[0].end) {
			return false
		}
		t.remove(t.order[0])
	}
	t.add(r)
	return true
}

// add adds the record. All marks of a call end with the last one, so that two crashes count until then.
func (t *table) add(r *record) {
	if t.records == nil {
		t.records = map[identity]*record{}
		t.prints = map[string][]*record{}
	}
	t.records[r.identity] = r
	t.prints[r.print] = append(t.prints[r.print], r)
	t.changed(r)
	r.added = r.sequence
	heap.Push(&t.order, r)
	last := slices.MaxFunc(t.prints[r.print], func(a, b *record) int { return a.end.Compare(b.end) }).end
	for _, o := range t.prints[r.print] {
		if o.end.Equal(last) {
			continue
		}
		o.end = last
		heap.Fix(&t.order, o.index)
	}
}

func (t *table) changed(r *record) {
	t.sequence++
	r.sequence = t.sequence
}

// clear clears all marks of the call.
func (t *table) clear(now time.Time, print string) []mark.Mark {
	var cleared []mark.Mark
	for _, r := range t.prints[print] {
		if r.fields.Cleared {
			continue
		}
		r.fields.Cleared = true
		t.changed(r)
		cleared = append(cleared, r.mark(now))
	}
	return cleared
}

func (r *record) mark(now time.Time) mark.Mark {
	f := r.fields
	f.TimeLeft = r.end.Sub(now)
	return mark.New(f)
}

// expire removes marks that have ended.
func (t *table) expire(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.order[0].end) {
		t.remove(t.order[0])
	}
}

func (t *table) remove(r *record) {
	heap.Remove(&t.order, r.index)
	delete(t.records, r.identity)
	rest := slices.DeleteFunc(t.prints[r.print], func(o *record) bool { return o == r })
	if len(rest) == 0 {
		delete(t.prints, r.print)
		return
	}
	t.prints[r.print] = rest
}

// since returns the marks that changed after the sequence, oldest change first.
func (t *table) since(now time.Time, sequence uint64, most int) ([]mark.Mark, uint64) {
	if sequence >= t.sequence {
		return nil, t.sequence
	}
	t.expire(now)
	var changed []*record
	for _, r := range t.records {
		if r.sequence > sequence {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	last := t.sequence
	if len(changed) > most {
		changed = changed[:most]
		last = changed[most-1].sequence
	}
	marks := make([]mark.Mark, 0, len(changed))
	for _, r := range changed {
		marks = append(marks, r.mark(now))
	}
	return marks, last
}

// live returns the fingerprints with marks that count.
func (t *table) live(now time.Time) map[string]struct{} {
	prints := map[string]struct{}{}
	for p := range t.prints {
		if t.count(now, p) > 0 {
			prints[p] = struct{}{}
		}
	}
	return prints
}
