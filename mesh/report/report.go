package report

import (
	"encoding/json"
	"time"
)

// Plural is the resource name of reports in the store, which has one object for each data centre.
const Plural = "reports"

// Report is an immutable summary by the relay of one data centre.
type Report struct {
	w wire
}

// Laggard is a node that has not applied the newest version, with the reason if it refused it.
type Laggard struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

type wire struct {
	DataCentre     string         `json:"centre"`
	At             time.Time      `json:"at"`
	Newest         uint64         `json:"newest"`
	ConfirmedAt    time.Time      `json:"heard"`
	NodesByVersion map[uint64]int `json:"nodes"`
	Laggards       []Laggard      `json:"laggards,omitempty"`
}

// New returns a summary: newest is the highest version that the relay has received, confirmedAt when the store last
// confirmed it, and nodesByVersion the number of nodes by version in force.
func New(
	dataCentre string, at time.Time, newest uint64, confirmedAt time.Time, nodesByVersion map[uint64]int,
	laggards []Laggard,
) Report {
	return Report{w: wire{
		DataCentre: dataCentre, At: at, Newest: newest, ConfirmedAt: confirmedAt, NodesByVersion: nodesByVersion,
		Laggards: laggards,
	}}
}

// MarshalJSON encodes the report as it is stored.
func (r Report) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// UnmarshalJSON decodes a stored report.
func (r *Report) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.w) }

// DataCentre returns the data centre's name.
func (r Report) DataCentre() string { return r.w.DataCentre }

// At returns when the report was made.
func (r Report) At() time.Time { return r.w.At }

// Newest returns the highest version that the relay has received.
func (r Report) Newest() uint64 { return r.w.Newest }

// ConfirmedAt returns when the store last confirmed the newest version.
func (r Report) ConfirmedAt() time.Time { return r.w.ConfirmedAt }

// NodesByVersion returns the number of nodes by version in force; the map must not be changed.
func (r Report) NodesByVersion() map[uint64]int { return r.w.NodesByVersion }

// Laggards returns the nodes behind the newest version, at most 20.
func (r Report) Laggards() []Laggard { return r.w.Laggards }
