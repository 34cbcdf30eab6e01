package booking_test

import "flag"

// A fixed seed makes property tests generate the same cases in every run. A -rapid.seed
// flag on the command line is parsed later and overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
