package sizer

import (
	"sync"
	"sync/atomic"
)

const (
	// weight is the weight of one answer in a route's smoothed size.
	weight = 0.1
	// maxRoutes bounds the routes whose sizes are kept; those of further ones are not known.
	maxRoutes = 4096
)

// Sizer keeps the smoothed sizes of answers by route; it is safe for concurrent use.
type Sizer struct {
	// From is the size from which the first answer of a route is recorded, so that routes with small answers cost nothing;
	// set before use.
	From int64

	sizes  sync.Map // route -> *atomic.Int64
	routes atomic.Int64
}

// Expected returns the smoothed size of the route's answers, or zero if it is not known.
func (s *Sizer) Expected(route string) int64 {
	if s.routes.Load() == 0 {
		return 0
	}
	if n, ok := s.sizes.Load(route); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Observe records the size of an answer.
func (s *Sizer) Observe(route string, size int64) {
	routes := s.routes.Load()
	if routes == 0 && size < s.From {
		return
	}
	n, ok := s.sizes.Load(route)
	if !ok {
		if size < s.From || routes >= maxRoutes {
			return
		}
		first := &atomic.Int64{}
		first.Store(size)
		if _, loaded := s.sizes.LoadOrStore(route, first); !loaded {
			s.routes.Add(1)
		}
		return
	}
	old := n.(*atomic.Int64).Load()
	n.(*atomic.Int64).Store(old + int64(weight*float64(size-old)))
}
