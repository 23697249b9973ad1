package sizer

import "testing"

// TestSizes guards against routes with small answers that are recorded, and against a size that is kept after the route's
// answers have become small.
func TestSizes(t *testing.T) {
	s := &Sizer{From: 1000}
	s.Observe("small", 10)
	s.Observe("large", 5000)
	s.Observe("small", 10)
	if n, m := s.Expected("small"), s.Expected("large"); n != 0 || m != 5000 || s.routes.Load() != 1 {
		t.Errorf("expected %d and %d bytes, %d routes", n, m, s.routes.Load())
	}
	for range 60 {
		s.Observe("large", 10)
	}
	if n := s.Expected("large"); n > 100 {
		t.Errorf("%d bytes are expected after 60 answers of 10", n)
	}
}
