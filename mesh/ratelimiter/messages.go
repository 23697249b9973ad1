package ratelimiter

import (
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/quota"
)

// Kinds of messages; they are short because they are sent often.
const (
	kindReport = "q.r"
	kindGrant  = "q.g"
)

func init() {
	encoder.Register(kindReport, func() any { return new(quota.Report) })
	encoder.Register(kindGrant, func() any { return new(quota.Grant) })
}
