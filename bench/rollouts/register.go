package rollouts

import "wisteriaspoke.example/bench/reporter"

func init() { reporter.Register("rollouts", 30, Measure) }
