package roster_test

import "flag"

// Fixes the seed, so that every run checks the same cases. A -rapid.seed flag on the
// command line is parsed later and takes precedence.
func init() { _ = flag.Set("rapid.seed", "1") }
