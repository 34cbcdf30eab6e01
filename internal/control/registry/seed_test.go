package registry_test

import "flag"

// init fixes the seed of rapid, so that every run draws the same cases and gives the
// same result. A -rapid.seed flag is parsed later and overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
