package target

import (
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/gauge"
)

// Tier is the distance of an endpoint from this node.
type Tier int

// The tiers, nearest first.
const (
	Local          Tier = iota // the upstream beside this node
	SameDataCentre             // in this node's data centre
	SameRegion                 // in this node's region
	RemoteRegion               // in another region
)

// String returns the tier's name in log lines.
func (t Tier) String() string {
	return [...]string{"own", "centre", "region", "far"}[t]
}

// Target is an endpoint that calls can be sent to, with its gauge and tier.
type Target struct {
	endpoint endpoint.Endpoint
	gauge    *gauge.Gauge
	tier     Tier
}

// New returns the target for an endpoint, with the tier as seen from a node.
func New(e endpoint.Endpoint, g *gauge.Gauge, node, dataCentre, region string) *Target {
	t := &Target{endpoint: e, gauge: g, tier: RemoteRegion}
	switch {
	case e.Address() == node:
		t.tier = Local
	case e.DataCentre() == dataCentre:
		t.tier = SameDataCentre
	case e.Region() == region:
		t.tier = SameRegion
	}
	return t
}

// Endpoint returns the announced endpoint.
func (t *Target) Endpoint() endpoint.Endpoint { return t.endpoint }

// Gauge returns the measurements of the endpoint; they outlive the target, which each published view creates anew.
func (t *Target) Gauge() *gauge.Gauge { return t.gauge }

// Tier returns the endpoint's distance from this node.
func (t *Target) Tier() Tier { return t.tier }
