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
	reportPeriod  = 2 * time.Second
	laggardsLimit = 20
)

// reports is the writing of this data centre's report.
type reports struct {
	at       time.Time // of the next look
	key      string    // content of the last one written, without times
	revision string
	busy     bool
}

func (r *relayer) tickReports() {
	if r.seat < 0 || !r.roster.IsOwner() || r.reports.busy || r.now.Before(r.reports.at) {
		return
	}
	r.reports.at = r.now.Add(reportPeriod)
	nodes, laggards := r.census()
	key, err := json.Marshal(report.New(r.config.DataCentre, time.Time{}, r.newest(), time.Time{}, nodes, laggards))
	if err != nil || string(key) == r.reports.key {
		return
	}
	p := report.New(r.config.DataCentre, r.now, r.newest(), r.supply.heard, nodes, laggards)
	r.emit(effect.NewPublish(p))
	r.writeReport(p, string(key))
}

func (r *relayer) newest() uint64 { return max(r.supply.head.Version(), r.supply.latest.Version()) }

// census counts the data centre's nodes by version and lists those behind the newest.
func (r *relayer) census() (map[uint64]int, []report.Laggard) {
	nodes := map[uint64]int{}
	var laggards []report.Laggard
	add := func(address string, version, refused uint64, reason string) {
		nodes[version]++
		if version >= r.newest() || len(laggards) == laggardsLimit {
			return
		}
		laggards = append(laggards, laggardOf(address, version, refused, reason))
	}
	add(r.config.Node, r.floor.published, r.client.refused, r.client.reason)
	// The data centre's other relay is no client of this one.
	if h := r.table.at(r.config.DataCentre, 1-r.seat); h != nil && h.live(r.now) && h.holder != r.config.Node {
		if p := r.supply.peers[h.holder]; p != nil {
			add(h.holder, p.published, p.refused, p.reason)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		if c := r.server.clients[address]; c.sub.DataCentre == r.config.DataCentre {
			add(address, c.sub.Version, c.sub.RefusedVersion, c.sub.Reason)
			if c.sum == nil {
				continue
			}
			for version, n := range c.sum.NodesByVersion {
				nodes[version] += n
			}
			room := min(laggardsLimit-len(laggards), len(c.sum.Laggards))
			laggards = append(laggards, c.sum.Laggards[:room]...)
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
	r.reports.busy = r.request(kind, o, false, func(e event.Event) {
		r.reports.busy = false
		if e.Err() == nil {
			r.reports.revision, r.reports.key = e.Object().Revision(), key
			return
		}
		if fault.KindOf(e.Err()) == fault.Conflict {
			r.readReport()
		}
	})
}

// readReport learns the revision of a report that another relay wrote; the next look writes over it.
func (r *relayer) readReport() {
	o := object.New(report.Plural, r.config.DataCentre, "", nil)
	r.reports.busy = r.request(effect.Get, o, false, func(e event.Event) {
		r.reports.busy = false
		if e.Err() == nil {
			r.reports.revision = e.Object().Revision()
		}
	})
}
