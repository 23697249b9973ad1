package membership

import "wisteriaspoke.example/bench/reporter"

func init() { reporter.Register("membership", 20, Measure) }
