package slot

import "time"

// plannedPercent is the percentage of a server's connections that gateways plan to use.
// The rest is headroom for gateway VMs that are being replaced.
const plannedPercent = 80

// extraGatewaysPercent is the percentage added to the number of live gateways, because the
// list of VMs lags behind and may miss some.
const extraGatewaysPercent = 10

// Connections returns how many connections one of the given number of live gateways
// may open to a server that accepts the given number of connections. The result is at
// least 1, so that every gateway can reach every server.
func Connections(accepted, gateways int) int {
	gateways = max(gateways, 1)
	expected := gateways + (gateways*extraGatewaysPercent+99)/100
	if gateways == 1 {
		expected = 1
	}
	return max(accepted*plannedPercent/100/expected, 1)
}

// Limits enforces per-server limits on the number of attempts in flight. It is not
// safe for concurrent use.
type Limits struct {
	inFlight map[string]int
}

// NewLimits returns Limits with no attempts in flight.
func NewLimits() *Limits {
	return &Limits{inFlight: make(map[string]int)}
}

// Acquire counts an attempt as in flight. It returns false if the server has reached
// its limit.
func (l *Limits) Acquire(server string, limit int) bool {
	if l.inFlight[server] >= limit {
		return false
	}
	l.inFlight[server]++
	return true
}

// Release marks an acquired attempt as finished.
func (l *Limits) Release(server string) {
	if l.inFlight[server] <= 1 {
		delete(l.inFlight, server)
		return
	}
	l.inFlight[server]--
}

// InFlight returns the number of attempts in flight to a server.
func (l *Limits) InFlight(server string) int {
	return l.inFlight[server]
}

// Seconds converts a delay to whole seconds for a Retry-After header, rounding up.
func Seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
