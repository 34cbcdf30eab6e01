package mustardsaddle

// Evacuation is an operator's request to send nothing to the endpoint servers of an
// availability zone until it is taken back.
type Evacuation struct {
	// Zone is the name of the availability zone.
	Zone string
	// Comment names who requested it and why, as in the rules file; empty if unknown.
	Comment string
}
