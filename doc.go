// Package mustardsaddle defines the types that the components of the load balancer
// exchange, and the interfaces between them and to the platform. Implementations
// are below internal, in two levels by area.
//
// # Usage
//
// A decision is a method on an explicit state value. It takes the current time, and
// a random source for tie-breaking, and performs no I/O:
//
//	chooser := bench.New(bench.Config{Policy: bench.PreferredSpill})
//	choice, ok := chooser.Choose(now, rng, mustardsaddle.Requirements{Zone: "a"})
//
// The request path reads immutable snapshots (rules, servers) and never waits for
// the platform's store or for a peer, except where a rule requires a claim.
package mustardsaddle
