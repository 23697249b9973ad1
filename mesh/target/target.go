package target

import (
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/gauge"
)

// Tier is the distance of an endpoint from this node.
type Tier int

// The tiers, nearest first.
const (
	Own    Tier = iota // beside this node
	Near               // in this node's data centre
	Region             // in this node's region
	Far                // elsewhere
)

// String returns the tier's name in log lines.
func (t Tier) String() string {
	return [...]string{"own", "centre", "region", "far"}[t]
}

// Target is one endpoint that calls can be sent to.
type Target struct {
	endpoint endpoint.Endpoint
	gauge    *gauge.Gauge
	tier     Tier
}

// New returns the target for an endpoint, as seen from a node.
func New(e endpoint.Endpoint, g *gauge.Gauge, node, dataCentre, region string) *Target {
	t := &Target{endpoint: e, gauge: g, tier: Far}
	switch {
	case e.Address() == node:
		t.tier = Own
	case e.DataCentre() == dataCentre:
		t.tier = Near
	case e.Region() == region:
		t.tier = Region
	}
	return t
}

// Endpoint returns the announcement.
func (t *Target) Endpoint() endpoint.Endpoint { return t.endpoint }

// Gauge returns the measurements, which outlive the target.
func (t *Target) Gauge() *gauge.Gauge { return t.gauge }

// Tier returns the distance from this node.
func (t *Target) Tier() Tier { return t.tier }
