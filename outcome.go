package mustardsaddle

//go:generate go tool -modfile=tools/go.mod stringer -type=Outcome,Repeat -output=enum_string.go

// Outcome states whether the request of an attempt was executed, as far as is
// known. What the caller is told depends on the outcome alone.
type Outcome int

const (
	// Unknown means that the request may or may not have been executed. It is the
	// zero value, so that an unclassified attempt is never reported as NotRun.
	Unknown Outcome = iota
	// NotRun means that no byte of the request reached a server, or that the server
	// declared that it did not run the request.
	NotRun
	// Ran means that a complete response header was received.
	Ran
)

// Repeat states whether a request may be sent more than once.
type Repeat int

const (
	// RepeatNo marks a request that runs at most once.
	RepeatNo Repeat = iota
	// RepeatYes marks an idempotent request.
	RepeatYes
	// RepeatClaim marks a request that runs at most once, even across retries by
	// the caller, by means of a claim in the platform's store.
	RepeatClaim
)
