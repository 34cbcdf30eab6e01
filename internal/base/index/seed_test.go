package index_test

import "flag"

// A fixed seed makes every run draw the same cases, so that results are
// reproducible. A -rapid.seed flag on the command line is parsed later and
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
