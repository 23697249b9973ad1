package relayer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/report"
)

const (
	reportPeriod = 2 * time.Second
	maxLaggards  = 20
)

// reports is the state of writing this data centre's report to the store.
type reports struct {
	nextReportAt   time.Time
	lastContent    string // of the last written report, without times
	revision       string
	requestPending bool
}

func (r *relayer) tickReports() {
	if r.leaseIndex < 0 || !r.roster.IsOwner() || r.reports.requestPending || r.now.Before(r.reports.nextReportAt) {
		return
	}
	r.reports.nextReportAt = r.now.Add(reportPeriod)
	nodes, laggards := r.countNodes()
	key, err := json.Marshal(report.New(r.config.DataCentre, time.Time{}, r.newestVersion(), time.Time{}, nodes, laggards))
	if err != nil || string(key) == r.reports.lastContent {
		return
	}
	p := report.New(r.config.DataCentre, r.now, r.newestVersion(), r.distribution.headConfirmedAt, nodes, laggards)
	r.emit(effect.NewPublish(p))
	r.writeReport(p, string(key))
}

func (r *relayer) newestVersion() uint64 {
	return max(r.distribution.head.Version(), r.distribution.latestState.Version())
}

// countNodes counts the data centre's nodes by version and lists those that lack the newest version.
func (r *relayer) countNodes() (map[uint64]int, []report.Laggard) {
	nodes := map[uint64]int{}
	var laggards []report.Laggard
	add := func(address string, version, refused uint64, reason string) {
		nodes[version]++
		if version >= r.newestVersion() || len(laggards) == maxLaggards {
			return
		}
		laggards = append(laggards, laggardOf(address, version, refused, reason))
	}
	add(r.config.Node, r.versionFloor.published, r.client.refusedVersion, r.client.refusedReason)
	// The data centre's other relay is not a client of this one.
	if h := r.leaseTable.lease(r.config.DataCentre, 1-r.leaseIndex); h != nil && h.live(r.now) &&
		h.holder != r.config.Node {
		if p := r.distribution.peers[h.holder]; p != nil {
			add(h.holder, p.publishedVersion, p.refusedVersion, p.refusedReason)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		if c := r.server.clients[address]; c.subscription.DataCentre == r.config.DataCentre {
			add(address, c.subscription.Version, c.subscription.RefusedVersion, c.subscription.Reason)
			if c.summary == nil {
				continue
			}
			for version, n := range c.summary.NodesByVersion {
				nodes[version] += n
			}
			count := min(maxLaggards-len(laggards), len(c.summary.Laggards))
			laggards = append(laggards, c.summary.Laggards[:count]...)
		}
	}
	return nodes, laggards
}

func (r *relayer) writeReport(p report.Report, key string) {
	spec, err := json.Marshal(p)
	if err != nil {
		return
	}
	kind := effect.Create
	if r.reports.revision != "" {
		kind = effect.Update
	}
	o := object.New(report.Plural, r.config.DataCentre, r.reports.revision, spec)
	r.reports.requestPending = r.request(kind, o, false, func(e event.Event) {
		r.reports.requestPending = false
		if e.Err() == nil {
			r.reports.revision, r.reports.lastContent = e.Object().Revision(), key
			return
		}
		if fault.KindOf(e.Err()) == fault.Conflict {
			r.readReport()
		}
	})
}

// readReport reads the revision of a report that another relay wrote, so that the next write replaces it.
func (r *relayer) readReport() {
	o := object.New(report.Plural, r.config.DataCentre, "", nil)
	r.reports.requestPending = r.request(effect.Get, o, false, func(e event.Event) {
		r.reports.requestPending = false
		if e.Err() == nil {
			r.reports.revision = e.Object().Revision()
		}
	})
}
