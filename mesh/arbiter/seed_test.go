package arbiter_test

import "flag"

// A fixed seed makes the result reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
