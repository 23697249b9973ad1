package guard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/mark"
)

// table stores marks by crash and fingerprint. A mark only ever changes from counting to cleared, so nodes that have
// received the same marks in any order have the same table.
type table struct {
	sequence      uint64 // number of changes
	records       map[recordKey]*record
	byFingerprint map[string][]*record
	byExpiry      expiryHeap
}

// recordKey identifies a mark.
type recordKey struct {
	crash       string
	fingerprint string
}

// record is a mark in the table.
type record struct {
	recordKey
	fields      mark.Fields
	received    time.Time
	expires     time.Time
	firstChange uint64 // sequence number
	lastChange  uint64 // sequence number
	index       int    // in byExpiry
}

// count returns how many crashes count against the call.
func (t *table) count(now time.Time, fingerprint string) int {
	n := 0
	for _, r := range t.byFingerprint[fingerprint] {
		if !r.fields.Cleared && now.Before(r.expires) {
			n++
		}
	}
	return n
}

// merge adds a mark or clears it, and reports whether the table changed.
func (t *table) merge(now time.Time, m mark.Mark) bool {
	f := m.Fields()
	t.removeExpired(now)
	// A mark that expires soon is ignored; otherwise nodes whose copies expire at slightly different times would
	// forward it to each other again and again.
	if f.TimeLeft < MaxSpreadTime || f.TimeLeft > MarkLifetime || len(f.Fingerprint) != fingerprintLength {
		return false
	}
	key := recordKey{crash: m.CrashID(), fingerprint: f.Fingerprint}
	if r, known := t.records[key]; known {
		if !f.Cleared || r.fields.Cleared {
			return false
		}
		r.fields.Cleared = true
		t.recordChange(r)
		return true
	}
	r := &record{recordKey: key, fields: f, received: now, expires: now.Add(f.TimeLeft)}
	if len(t.records) >= maxMarks {
		if r.expires.Before(t.byExpiry[0].expires) {
			return false
		}
		t.remove(t.byExpiry[0])
	}
	t.add(r)
	return true
}

// add adds the record. All marks of a call expire with the last one, so that two crashes count until then.
func (t *table) add(r *record) {
	if t.records == nil {
		t.records = map[recordKey]*record{}
		t.byFingerprint = map[string][]*record{}
	}
	t.records[r.recordKey] = r
	t.byFingerprint[r.fingerprint] = append(t.byFingerprint[r.fingerprint], r)
	t.recordChange(r)
	r.firstChange = r.lastChange
	heap.Push(&t.byExpiry, r)
	last := slices.MaxFunc(t.byFingerprint[r.fingerprint], func(a, b *record) int {
		return a.expires.Compare(b.expires)
	}).expires
	for _, other := range t.byFingerprint[r.fingerprint] {
		if other.expires.Equal(last) {
			continue
		}
		other.expires = last
		heap.Fix(&t.byExpiry, other.index)
	}
}

// recordChange gives the record the next sequence number.
func (t *table) recordChange(r *record) {
	t.sequence++
	r.lastChange = t.sequence
}

// clear clears all marks of the call.
func (t *table) clear(now time.Time, fingerprint string) []mark.Mark {
	var cleared []mark.Mark
	for _, r := range t.byFingerprint[fingerprint] {
		if r.fields.Cleared {
			continue
		}
		r.fields.Cleared = true
		t.recordChange(r)
		cleared = append(cleared, r.mark(now))
	}
	return cleared
}

// mark returns the mark with its remaining lifetime.
func (r *record) mark(now time.Time) mark.Mark {
	f := r.fields
	f.TimeLeft = r.expires.Sub(now)
	return mark.New(f)
}

// removeExpired removes the marks that have expired.
func (t *table) removeExpired(now time.Time) {
	for len(t.byExpiry) > 0 && !now.Before(t.byExpiry[0].expires) {
		t.remove(t.byExpiry[0])
	}
}

func (t *table) remove(r *record) {
	heap.Remove(&t.byExpiry, r.index)
	delete(t.records, r.recordKey)
	rest := slices.DeleteFunc(t.byFingerprint[r.fingerprint], func(other *record) bool { return other == r })
	if len(rest) == 0 {
		delete(t.byFingerprint, r.fingerprint)
		return
	}
	t.byFingerprint[r.fingerprint] = rest
}

// changedSince returns at most limit marks that changed after the sequence number, oldest change first, and the
// sequence number for the next call.
func (t *table) changedSince(now time.Time, sequence uint64, limit int) ([]mark.Mark, uint64) {
	if sequence >= t.sequence {
		return nil, t.sequence
	}
	t.removeExpired(now)
	var changed []*record
	for _, r := range t.records {
		if r.lastChange > sequence {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.lastChange, b.lastChange) })
	last := t.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		last = changed[limit-1].lastChange
	}
	marks := make([]mark.Mark, 0, len(changed))
	for _, r := range changed {
		marks = append(marks, r.mark(now))
	}
	return marks, last
}

// markedFingerprints returns the fingerprints that have marks which are neither cleared nor expired.
func (t *table) markedFingerprints(now time.Time) map[string]struct{} {
	marked := map[string]struct{}{}
	for f := range t.byFingerprint {
		if t.count(now, f) > 0 {
			marked[f] = struct{}{}
		}
	}
	return marked
}
