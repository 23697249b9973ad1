package distribution

import "wisteriaspoke.example/bench/reporter"

func init() { reporter.Register("distribution", 10, Measure) }
