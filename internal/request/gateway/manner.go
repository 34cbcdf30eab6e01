package gateway

// manner says by which connection an attempt goes.
type manner int

const (
	// newConnection is one that nothing else uses, before or after.
	newConnection manner = iota
	// anyConnection may be one that has served before.
	anyConnection
	// aliveConnection may be one that carried an answer within
	// connection.AliveWindow.
	aliveConnection
)
