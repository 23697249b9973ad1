package registrar

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/object"
)

// plural is where the sets stand in the store.
const plural = "endpoints"

// Names of store requests; a write is followed by the service's name.
const (
	listID  = "registrar/list"
	writeID = "registrar/write/"
	readID  = "registrar/read/"
)

// Limits of writes. The store takes several hundred writes a second for everything; ten data centres use 50 of them.
const (
	writePeriod  = time.Second // between two writes of one set
	writeRate    = 5           // writes a second for a data centre; reads before a write count as well
	writeBurst   = 5
	answerLimit  = 5 * time.Second // a request without an answer is over
	minStoreWait = time.Second
	maxStoreWait = 30 * time.Second
)

// record is one set's way to the store.
type record struct {
	group    group.Group
	dirty    bool
	revision string
	known    bool // whether the object stands, and its revision, are known
	sent     time.Time
	written  group.Group
	waiting  bool
}

// archive writes the owner's sets to the store, the newest content only.
type archive struct {
	config  machine.Config
	records map[string]*record
	tokens  float64
	filled  time.Time
	wait    time.Duration // back-off while the store does not answer
	resume  time.Time
}

func newArchive(c machine.Config) *archive {
	return &archive{config: c, records: map[string]*record{}, tokens: writeBurst}
}

func (a *archive) record(service string) *record {
	if a.records[service] == nil {
		a.records[service] = &record{}
	}
	return a.records[service]
}

// change notes a set that the store should have.
func (a *archive) change(g group.Group) {
	rc := a.record(g.Service())
	rc.group = g
	rc.dirty = true
}

// know notes the revision of a stored set.
func (a *archive) know(service, revision string) {
	rc := a.record(service)
	rc.revision = revision
	rc.known = true
}

// resign forgets what only an owner writes.
func (a *archive) resign() { clear(a.records) }

// refill adds to the budget what the time since the last call gives.
func (a *archive) refill(now time.Time) {
	if !a.filled.IsZero() {
		a.tokens = min(writeBurst, a.tokens+writeRate*now.Sub(a.filled).Seconds())
	}
	a.filled = now
}

// due returns the services to write now, the longest unwritten first. After a failure one request at a time finds out
// whether the store is back, so that its return meets no storm.
func (a *archive) due(now time.Time) []string {
	a.refill(now)
	if now.Before(a.resume) {
		return nil
	}
	var services []string
	waiting := 0
	for _, s := range slices.Sorted(maps.Keys(a.records)) {
		rc := a.records[s]
		if rc.waiting && now.Sub(rc.sent) > answerLimit {
			rc.waiting = false
			rc.known = false
		}
		if rc.waiting {
			waiting++
		}
		if rc.dirty && !rc.waiting && now.Sub(rc.sent) >= writePeriod {
			services = append(services, s)
		}
	}
	slices.SortStableFunc(services, func(x, y string) int { return a.records[x].sent.Compare(a.records[y].sent) })
	limit := int(a.tokens)
	if a.wait > 0 {
		limit = min(limit, 1-waiting)
	}
	return services[:max(0, min(limit, len(services)))]
}

// save sends the store requests that are due.
func (r *Registrar) save(now time.Time) {
	if r.owner == nil {
		r.archive.resign()
		return
	}
	if now.Before(r.heldUntil) {
		return
	}
	for _, s := range r.archive.due(now) {
		if f, err := r.archive.request(now, s); err == nil {
			r.out = append(r.out, f)
		}
	}
}

// request returns the next store request for a set: a read if its revision is not known, or a conditional write.
func (a *archive) request(now time.Time, service string) (effect.Effect, error) {
	rc := a.records[service]
	name := a.config.DataCentre + "-" + service
	rc.waiting = true
	rc.sent = now
	a.tokens--
	if !rc.known {
		return effect.NewStoreRequest(effect.Get, readID+service, object.New(plural, name, "", nil)), nil
	}
	spec, err := json.Marshal(rc.group)
	if err != nil {
		rc.dirty = false
		return effect.Effect{}, fault.Wrap(fault.Invalid, err, "cannot encode the set "+name, "report this as a bug")
	}
	rc.written = rc.group
	kind := effect.Update
	if rc.revision == "" {
		kind = effect.Create
	}
	return effect.NewStoreRequest(kind, writeID+service, object.New(plural, name, rc.revision, spec)), nil
}

// answer takes the end of a request of the archive.
func (a *archive) answer(now time.Time, e event.Event) {
	service, wrote := strings.CutPrefix(e.ID(), writeID)
	if !wrote {
		var read bool
		if service, read = strings.CutPrefix(e.ID(), readID); !read {
			return
		}
	}
	rc := a.records[service]
	if rc == nil || !rc.waiting {
		return
	}
	rc.waiting = false
	if a.failed(now, e.Err()) {
		// The write may have taken effect.
		rc.known = rc.known && !wrote
		return
	}
	if wrote {
		rc.wrote(e)
		return
	}
	rc.read(e)
}

// failed notes whether the store answers, and reports whether it did not.
func (a *archive) failed(now time.Time, err error) bool {
	kind := fault.KindOf(err)
	if err == nil || kind == fault.Conflict || kind == fault.NotFound {
		a.wait = 0
		return false
	}
	a.wait = min(max(2*a.wait, minStoreWait), maxStoreWait)
	a.resume = now.Add(a.wait/2 + time.Duration(a.config.Rand.Int64N(int64(a.wait)/2)))
	return true
}

// wrote takes the answer to a write; a conflict means that the revision has to be read.
func (rc *record) wrote(e event.Event) {
	if e.Err() != nil {
		rc.known = false
		return
	}
	rc.revision = e.Object().Revision()
	rc.dirty = rc.group.Replaces(rc.written)
}

// read takes the answer to a read. A newer set in the store is left there: its writer is the owner now.
func (rc *record) read(e event.Event) {
	rc.known = true
	rc.revision = e.Object().Revision()
	rc.sent = time.Time{}
	if e.Err() != nil {
		return
	}
	if g, err := decode(e.Object()); err == nil && !rc.group.Replaces(g) {
		rc.dirty = false
	}
}

// decode returns the set in a stored object.
func decode(o object.Object) (group.Group, error) {
	var g group.Group
	if err := json.Unmarshal(o.Spec(), &g); err != nil {
		return g, fault.Wrap(fault.Invalid, err, "the stored set "+o.Name()+" is malformed", "delete the object")
	}
	return g, nil
}
