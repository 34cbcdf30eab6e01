package mustardsaddle

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
)

const (
	// MaxNameBytes is the largest size of a name, zone, service or address.
	MaxNameBytes = 1024
	// MaxSlots is the largest number of requests that a server may run concurrently.
	MaxSlots = 4096
	// MaxConnections is the largest number of connections that a server may accept.
	MaxConnections = 1 << 20
	// MaxIncarnation is the highest incarnation.
	MaxIncarnation = 1 << 62
)

// Machine is one entry of the platform's list of VMs, which contains gateways and
// endpoint servers. The list lags behind the actual state.
type Machine struct {
	Name        string
	Incarnation int64
	Zone        string
	// Service is the service of an endpoint server; empty for a gateway VM.
	Service string
	// Address is the address for requests or, for a gateway VM, for peer links.
	Address     string
	Slots       int
	Connections int
	Leaving     bool
	// WarmUp is the remaining time for which the VM is slow after its start; negative if it
	// is not known.
	WarmUp time.Duration
}

// Check returns an error if the entry names no VM that can be used. Other programs write
// such lists too, so that a field may have any value.
func (m Machine) Check() error {
	if m.Name == "" || strings.ContainsFunc(m.Name, unicode.IsControl) || strings.TrimSpace(m.Name) != m.Name {
		return fmt.Errorf("read VM: got name %.40q, want one that a header can have", m.Name)
	}
	for _, s := range []string{m.Name, m.Zone, m.Service, m.Address} {
		if len(s) > MaxNameBytes {
			return fmt.Errorf("read VM %.40q: got a name of %d bytes, want at most %d", m.Name, len(s), MaxNameBytes)
		}
	}
	if m.Incarnation < 0 || m.Incarnation > MaxIncarnation {
		return fmt.Errorf("read VM %q: got incarnation %d, want 0 to %d", m.Name, m.Incarnation, MaxIncarnation)
	}
	if m.Slots < 0 || m.Slots > MaxSlots || m.Connections < 0 || m.Connections > MaxConnections {
		return fmt.Errorf("read VM %q: got %d slots and %d connections, want at most %d and %d", m.Name, m.Slots, m.Connections, MaxSlots, MaxConnections)
	}
	return nil
}

// CheckAddress returns an error unless the address is a host and a port that a connection
// can be opened to.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("got address %.60q, want a host and a port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("got address %.60q, want a port from 1 to 65535", address)
	}
	ip, err := netip.ParseAddr(host)
	if host == "" || err == nil && (ip.IsUnspecified() || ip.IsMulticast()) {
		return fmt.Errorf("got address %.60q, want that of one host", address)
	}
	return nil
}
