package quarantiner

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/suspicion"
)

func init() {
	kernel.Register("quarantiner", 30, func() kernel.Part { return New(slog.Default()) })
}

const (
	// minQuarantine is the time between the crash that quarantines a request and its first trial. It doubles with each
	// trial that crashes an upstream again, up to maxQuarantine.
	minQuarantine = 30 * time.Second
	maxQuarantine = 5 * time.Minute
	// repeatedLifetime is how long two or more crashes count, longer than maxQuarantine.
	repeatedLifetime = 10 * time.Minute
	// singleLifetime is how long one crash counts. Most of these requests did not cause it and do not come again.
	singleLifetime = time.Minute
	// clearedLifetime is how long a cleared count is kept, so that calls which were sent before it was cleared do not
	// restore the crashes.
	clearedLifetime = 30 * time.Second
	// maxRequests bounds the table to some 200 KB.
	maxRequests = 1024
)

var (
	crashes  = metrics.GetOrRegisterCounter("crash.calls", nil)
	cleared  = metrics.GetOrRegisterCounter("crash.cleared", nil)
	suspects = metrics.GetOrRegisterGauge("crash.requests", nil)
)

// entry is what is known of one request.
type entry struct {
	count     crashcount.Count
	changedAt time.Time // when the count changed, on whichever node
}

func (e entry) expired(now time.Time) bool {
	lifetime := repeatedLifetime
	switch e.count.Crashes() {
	case 0:
		lifetime = clearedLifetime
	case 1:
		lifetime = singleLifetime
	}
	return now.Sub(e.changedAt) >= lifetime
}

// refusedFor returns how long the request will still be refused.
func (e entry) refusedFor(now time.Time) time.Duration {
	if !e.count.Quarantined() {
		return 0
	}
	quarantine := minQuarantine
	for c := e.count - 1; c.Quarantined() && quarantine < maxQuarantine; c-- {
		quarantine *= 2
	}
	return max(0, min(quarantine, maxQuarantine)-now.Sub(e.changedAt))
}

// Quarantiner counts the crashes of requests. Calls read its table without a lock, and compute no fingerprint while it is
// empty; writers replace it.
type Quarantiner struct {
	log   *slog.Logger
	now   func() time.Time
	table atomic.Pointer[map[string]entry] // by fingerprint

	mutex   sync.Mutex          // guards replacements of the table and changed
	changed map[string]struct{} // fingerprints whose counts TakeChanges has not returned yet
}

// New returns a quarantiner without any crashes; Start replaces the log by that of the kernel.
func New(log *slog.Logger) *Quarantiner {
	q := &Quarantiner{log: log, now: time.Now, changed: map[string]struct{}{}}
	q.table.Store(&map[string]entry{})
	return q
}

// Start takes over the kernel's log; nothing runs in the background.
func (q *Quarantiner) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	q.log = k.Log
	return nil, nil
}

// fingerprint identifies requests with the same method, host, path and body. The service is left out, as a route may
// distribute the same request over several.
func fingerprint(c call.Call) string {
	return guard.Fingerprint(call.New(call.Fields{Method: c.Method(), Host: c.Host(), Path: c.Path(), Body: c.Body()}))
}

// Assess returns the call's count, by this node and by the one that sent the call, and for how long the call must be
// refused; zero means that it may run.
func (q *Quarantiner) Assess(c call.Call) (crashcount.Count, time.Duration) {
	if len(*q.table.Load()) == 0 && c.CrashCount() == 0 {
		return 0, 0
	}
	now, key := q.now(), fingerprint(c)
	e, known := (*q.table.Load())[key]
	if !known || e.expired(now) {
		e = entry{}
	}
	if c.CrashCount() > e.count {
		e = entry{count: c.CrashCount(), changedAt: now}
		q.update(now, func(table map[string]entry) { raise(table, key, e, now) })
	}
	return e.count, e.refusedFor(now)
}

// RecordCrash counts a crash of the upstream that ran the call, and returns the new count. before is the count that Assess
// returned before the run.
func (q *Quarantiner) RecordCrash(c call.Call, before crashcount.Count) crashcount.Count {
	crashes.Inc(1)
	after, key := before.AfterCrash(), fingerprint(c)
	q.log.Warn("request was running when the upstream crashed", "id", c.RequestID(), "fingerprint", key, "crashes", after.Crashes())
	q.record(key, after)
	return after
}

// RecordCompletion clears the count that Assess returned before the run, as the upstream has answered the call.
func (q *Quarantiner) RecordCompletion(c call.Call, before crashcount.Count) crashcount.Count {
	if before.Crashes() == 0 {
		return before
	}
	cleared.Inc(1)
	after, key := before.AfterCompletion(), fingerprint(c)
	q.log.Info("request is not suspect any more", "id", c.RequestID(), "fingerprint", key)
	q.record(key, after)
	return after
}

// record adds a count of this node, to be sent to the others.
func (q *Quarantiner) record(key string, count crashcount.Count) {
	now := q.now()
	q.update(now, func(table map[string]entry) {
		if raise(table, key, entry{count: count, changedAt: now}, now) {
			q.changed[key] = struct{}{}
		}
	})
}

// update replaces the table by a copy that change has modified, without the entries that have expired.
func (q *Quarantiner) update(now time.Time, change func(table map[string]entry)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	next := maps.Clone(*q.table.Load())
	maps.DeleteFunc(next, func(_ string, e entry) bool { return e.expired(now) })
	change(next)
	q.table.Store(&next)
	suspects.Update(int64(len(next)))
}

// raise stores the entry if its count is higher than the known one, and reports whether it did.
func raise(table map[string]entry, key string, e entry, now time.Time) bool {
	known, exists := table[key]
	if e.expired(now) || e.count <= known.count {
		return false
	}
	if !exists && len(table) >= maxRequests {
		removeOldest(table)
	}
	table[key] = e
	return true
}

// removeOldest removes the request with the fewest crashes, of several the one whose count is the oldest.
func removeOldest(table map[string]entry) {
	oldest := ""
	for key, e := range table {
		o := table[oldest]
		if oldest == "" || e.count.Crashes() < o.count.Crashes() ||
			e.count.Crashes() == o.count.Crashes() && e.changedAt.Before(o.changedAt) {
			oldest = key
		}
	}
	delete(table, oldest)
}

// TakeChanges returns the counts that changed by calls on this node's upstream since the last call of TakeChanges.
func (q *Quarantiner) TakeChanges() []suspicion.Suspicion {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.changed) == 0 {
		return nil
	}
	now, table := q.now(), *q.table.Load()
	var out []suspicion.Suspicion
	for key := range q.changed {
		if e, known := table[key]; known {
			out = append(out, e.suspicion(key, now))
		}
	}
	clear(q.changed)
	return out
}

// Suspicions returns all counts, for a node that may know none.
func (q *Quarantiner) Suspicions() []suspicion.Suspicion {
	now := q.now()
	var out []suspicion.Suspicion
	for key, e := range *q.table.Load() {
		if !e.expired(now) {
			out = append(out, e.suspicion(key, now))
		}
	}
	return out
}

func (e entry) suspicion(key string, now time.Time) suspicion.Suspicion {
	return suspicion.Suspicion{Fingerprint: key, Count: e.count, Age: now.Sub(e.changedAt).Milliseconds()}
}

// Merge adds the counts that another node sent.
func (q *Quarantiner) Merge(ss []suspicion.Suspicion) {
	now := q.now()
	q.update(now, func(table map[string]entry) {
		for _, s := range ss {
			age := min(max(0, s.Age), repeatedLifetime.Milliseconds())
			raise(table, s.Fingerprint, entry{count: s.Count, changedAt: now.Add(-time.Duration(age) * time.Millisecond)}, now)
		}
	})
}
