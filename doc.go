// Package mustardsaddle defines the types that the parts of the load balancer
// exchange, and the interfaces through which they reach each other and the
// platform. Implementations live below internal, two levels deep by area.
//
// # Usage
//
// A decision is a method on an explicit state value. It takes the present time,
// and a random source where it breaks ties, and performs no I/O:
//
//	chooser := bench.New(bench.Config{Policy: bench.PreferredSpill})
//	choice, err := chooser.Choose(now, rng, mustardsaddle.Call{Service: "Booking"})
//
// The request path reads immutable snapshots (rules, servers) and never waits
// for the platform's store or for a peer, except where a rule asks for a claim.
package mustardsaddle
