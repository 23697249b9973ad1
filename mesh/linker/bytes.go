package linker

import (
	"cmp"

	"github.com/rcrowley/go-metrics"
)

// The kinds of frames in the metrics of written bytes, beside the kinds of messages.
const (
	kindCall   = "call"   // calls and their bodies
	kindAnswer = "answer" // answers
	kindLink   = "link"   // frames of the link itself
)

// The distances in the metrics of written bytes, as in the log lines of tiers.
const (
	near = "region" // to nodes of this region
	far  = "far"    // to nodes of other regions
)

// callBytes and answerBytes count the bytes of calls and answers by whether the peer is in another region.
var (
	callBytes   = map[bool]metrics.Counter{false: bytesCounter(kindCall, near), true: bytesCounter(kindCall, far)}
	answerBytes = map[bool]metrics.Counter{false: bytesCounter(kindAnswer, near), true: bytesCounter(kindAnswer, far)}
)

// bytesCounter returns the counter of the bytes of one kind of frame that go that far.
func bytesCounter(kind, distance string) metrics.Counter {
	return metrics.GetOrRegisterCounter("link.bytes."+kind+"."+distance, nil)
}

// countBytes counts the bytes of a frame, before compression.
func (l *link) countBytes(o outgoingFrame) {
	n := int64(len(o.data))
	switch {
	case l.purpose == control:
		controlBytes.Inc(n)
		distance := near
		if l.crossRegion {
			crossRegionBytes.Inc(n)
			distance = far
		}
		bytesCounter(cmp.Or(o.kind, kindLink), distance).Inc(n)
	case l.dialed:
		callBytes[l.crossRegion].Inc(n)
	default:
		answerBytes[l.crossRegion].Inc(n)
	}
}
