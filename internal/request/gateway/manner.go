package gateway

// connectionPolicy states which connections an attempt may use.
type connectionPolicy int

const (
	// newConnection requires a connection that is used for this attempt only.
	newConnection connectionPolicy = iota
	// anyConnection permits any idle connection of the pool.
	anyConnection
	// aliveConnection permits an idle connection that returned a response within
	// connection.LivenessWindow.
	aliveConnection
)
