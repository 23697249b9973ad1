package projector

import "time"

const (
	// Groups is the number of groups of endpoints that have a mean utilisation of their own.
	Groups = 4
	// meanLifetime is the age at which a report has lost most of its weight in the mean utilisation of its group. The mean
	// of a group changes more slowly than the load of an endpoint.
	meanLifetime = time.Second
)

// Projector keeps the mean utilisation of each group of endpoints. A load differs from that mean for about as long as the
// calls that were counted take, as all nodes avoid an endpoint with a high load and prefer one with a low load. The zero
// value is ready for use; it is made for one choice and is not safe for concurrent use.
type Projector struct {
	used, slots [Groups]float64
}

// Add adds a report of an endpoint of the group to the group's mean utilisation.
func (p *Projector) Add(group int, others, slots float64, age time.Duration) {
	weight := decay(float64(age) / float64(meanLifetime))
	p.used[group] += weight * others
	p.slots[group] += weight * slots
}

// Utilisation returns the fraction of slots that other nodes use in the group, or that of all groups if no endpoint of the
// group has reported.
func (p *Projector) Utilisation(group int) float64 {
	if p.slots[group] > 0 {
		return p.used[group] / p.slots[group]
	}
	var used, slots float64
	for i := range Groups {
		used += p.used[i]
		slots += p.slots[i]
	}
	if slots == 0 {
		return 0
	}
	return used / slots
}

// Others returns how many calls other nodes have at an endpoint of the group, whose report of that age said others:
// between the report and the group's mean, by the age in units of the service time.
func (p *Projector) Others(group int, others, slots float64, age, service time.Duration) float64 {
	weight := decay(float64(age) / float64(max(1, service)))
	return weight*others + (1-weight)*p.Utilisation(group)*slots
}

// decay falls from 1 to 0 nearly as e to the power of -x, at a fraction of the cost.
func decay(x float64) float64 { return 1 / (1 + x + x*x/2) }
