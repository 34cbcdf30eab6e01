package slot

import "time"

// gatewayShare is the part of a server's connections, in percent, that gateways
// plan to use; the rest is room for VMs that are being replaced.
const gatewayShare = 80

// spareGateways is the part of the live gateways, in percent, by which their
// number is taken to be too low, since the list of VMs lags.
const spareGateways = 10

// Connections returns how many connections one gateway may open to a server that
// accepts the given number, among the given number of live gateways. It is at
// least 1, so that a server is never out of reach.
func Connections(accepted, gateways int) int {
	gateways = max(gateways, 1)
	expected := gateways + (gateways*spareGateways+99)/100
	if gateways == 1 {
		expected = 1
	}
	return max(accepted*gatewayShare/100/expected, 1)
}

// Limits counts the attempts open at each server against a cap. It is not safe
// for concurrent use.
type Limits struct {
	open map[string]int
}

// NewLimits returns limits without attempts.
func NewLimits() *Limits {
	return &Limits{open: make(map[string]int)}
}

// Admit counts an attempt in, unless the server has reached its cap.
func (l *Limits) Admit(server string, limit int) bool {
	if l.open[server] >= limit {
		return false
	}
	l.open[server]++
	return true
}

// Release counts an admitted attempt out.
func (l *Limits) Release(server string) {
	if l.open[server] <= 1 {
		delete(l.open, server)
		return
	}
	l.open[server]--
}

// Open returns the number of attempts open at a server.
func (l *Limits) Open(server string) int {
	return l.open[server]
}

// Seconds renders a wait for a Retry-After header, rounded up.
func Seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
