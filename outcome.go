package mustardsaddle

//go:generate go tool -modfile=tools/go.mod stringer -type=Outcome,Repeat -output=enum_string.go

// Outcome says what is known about the execution of one attempt. What a caller
// is told follows from the outcome alone.
type Outcome int

const (
	// Unknown means that the request may or may not have run. It is the zero
	// value, so that an attempt nobody classified is never reported as NotRun.
	Unknown Outcome = iota
	// NotRun means that no byte of the request reached a server, or that the
	// server declared that it did not run it.
	NotRun
	// Ran means that a complete response header came back.
	Ran
)

// Repeat says whether a request may be sent more than once.
type Repeat int

const (
	// RepeatNo marks a request that runs at most once.
	RepeatNo Repeat = iota
	// RepeatYes marks an idempotent request.
	RepeatYes
	// RepeatClaim marks a request that runs at most once across the caller's
	// own retries, by a claim in the platform's store.
	RepeatClaim
)
