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

// resourceName is the resource type of the sets in the store.
const resourceName = "endpoints"

// Names of store requests; a write is followed by the service's name.
const (
	listID  = "registrar/list"
	writeID = "registrar/write/"
	readID  = "registrar/read/"
)

// Write limits. The store handles several hundred writes a second in total; ten data centres use 50 of them.
const (
	writePeriod     = time.Second // minimum time between two writes of one set
	writesPerSecond = 5           // per data centre; reads before a write count as well
	writeBurst      = 5
	replyTimeout    = 5 * time.Second // a request without a reply for this long is abandoned
	minStoreBackoff = time.Second
	maxStoreBackoff = 30 * time.Second
)

// record is the state of writing one set to the store.
type record struct {
	group         group.Group
	dirty         bool
	revision      string
	revisionKnown bool // the object's existence and revision are known
	sentAt        time.Time
	sentGroup     group.Group
	inFlight      bool
}

// archive writes the newest content of the owner's sets to the store.
type archive struct {
	config     machine.Config
	records    map[string]*record
	tokens     float64
	refilledAt time.Time
	backoff    time.Duration // nonzero while the store does not reply
	retryAt    time.Time
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

// setGroup records a set to be written to the store.
func (a *archive) setGroup(g group.Group) {
	rc := a.record(g.Service())
	rc.group = g
	rc.dirty = true
}

// setRevision records the revision of a stored set.
func (a *archive) setRevision(service, revision string) {
	rc := a.record(service)
	rc.revision = revision
	rc.revisionKnown = true
}

// reset discards all records, since only an owner writes sets.
func (a *archive) reset() { clear(a.records) }

// refill adds write tokens for the time since the last call.
func (a *archive) refill(now time.Time) {
	if !a.refilledAt.IsZero() {
		a.tokens = min(writeBurst, a.tokens+writesPerSecond*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
}

// due returns the services to write now, the longest unwritten first. After a failure one request at a time tests
// whether the store is available again, so that it is not flooded when it returns.
func (a *archive) due(now time.Time) []string {
	a.refill(now)
	if now.Before(a.retryAt) {
		return nil
	}
	var services []string
	inFlight := 0
	for _, s := range slices.Sorted(maps.Keys(a.records)) {
		rc := a.records[s]
		if rc.inFlight && now.Sub(rc.sentAt) > replyTimeout {
			rc.inFlight = false
			rc.revisionKnown = false
		}
		if rc.inFlight {
			inFlight++
		}
		if rc.dirty && !rc.inFlight && now.Sub(rc.sentAt) >= writePeriod {
			services = append(services, s)
		}
	}
	slices.SortStableFunc(services, func(x, y string) int { return a.records[x].sentAt.Compare(a.records[y].sentAt) })
	limit := int(a.tokens)
	if a.backoff > 0 {
		limit = min(limit, 1-inFlight)
	}
	return services[:max(0, min(limit, len(services)))]
}

// save sends the store requests that are due.
func (r *Registrar) sendStoreRequests(now time.Time) {
	if r.owner == nil {
		r.archive.reset()
		return
	}
	if now.Before(r.decideAfter) {
		return
	}
	for _, s := range r.archive.due(now) {
		if f, err := r.archive.request(now, s); err == nil {
			r.effects = append(r.effects, f)
		}
	}
}

// request returns the next store request for a set: a read if its revision is not known, or a conditional write.
func (a *archive) request(now time.Time, service string) (effect.Effect, error) {
	rc := a.records[service]
	name := a.config.DataCentre + "-" + service
	rc.inFlight = true
	rc.sentAt = now
	a.tokens--
	if !rc.revisionKnown {
		return effect.NewStoreRequest(effect.Get, readID+service, object.New(resourceName, name, "", nil)), nil
	}
	spec, err := json.Marshal(rc.group)
	if err != nil {
		rc.dirty = false
		return effect.Effect{}, fault.Wrap(fault.Invalid, err, "cannot encode the set "+name, "report this as a bug")
	}
	rc.sentGroup = rc.group
	kind := effect.Update
	if rc.revision == "" {
		kind = effect.Create
	}
	return effect.NewStoreRequest(kind, writeID+service, object.New(resourceName, name, rc.revision, spec)), nil
}

// handleReply processes the result of a request of the archive.
func (a *archive) handleReply(now time.Time, e event.Event) {
	service, wrote := strings.CutPrefix(e.ID(), writeID)
	if !wrote {
		var read bool
		if service, read = strings.CutPrefix(e.ID(), readID); !read {
			return
		}
	}
	rc := a.records[service]
	if rc == nil || !rc.inFlight {
		return
	}
	rc.inFlight = false
	if a.updateBackoff(now, e.Err()) {
		// The write may have taken effect.
		rc.revisionKnown = rc.revisionKnown && !wrote
		return
	}
	if wrote {
		rc.handleWriteReply(e)
		return
	}
	rc.handleReadReply(e)
}

// updateBackoff updates the backoff after a request and reports whether the store was unavailable.
func (a *archive) updateBackoff(now time.Time, err error) bool {
	kind := fault.KindOf(err)
	if err == nil || kind == fault.Conflict || kind == fault.NotFound {
		a.backoff = 0
		return false
	}
	a.backoff = min(max(2*a.backoff, minStoreBackoff), maxStoreBackoff)
	a.retryAt = now.Add(a.backoff/2 + time.Duration(a.config.Rand.Int64N(int64(a.backoff)/2)))
	return true
}

// handleWriteReply processes the result of a write; after a conflict the revision has to be read.
func (rc *record) handleWriteReply(e event.Event) {
	if e.Err() != nil {
		rc.revisionKnown = false
		return
	}
	rc.revision = e.Object().Revision()
	rc.dirty = rc.group.Replaces(rc.sentGroup)
}

// handleReadReply processes the result of a read. A newer set in the store is kept: its writer is the owner now.
func (rc *record) handleReadReply(e event.Event) {
	rc.revisionKnown = true
	rc.revision = e.Object().Revision()
	rc.sentAt = time.Time{}
	if e.Err() != nil {
		return
	}
	if g, err := decode(e.Object()); err == nil && !rc.group.Replaces(g) {
		rc.dirty = false
	}
}

// decode decodes the set in a stored object.
func decode(o object.Object) (group.Group, error) {
	var g group.Group
	if err := json.Unmarshal(o.Spec(), &g); err != nil {
		return g, fault.Wrap(fault.Invalid, err, "the stored set "+o.Name()+" is malformed", "delete the object")
	}
	return g, nil
}
