package arbiter_test

import "flag"

// A fixed seed gives the same verdict every time; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
