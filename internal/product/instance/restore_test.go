package instance_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/standin/directory"
)

// After a restore of the directory from an older copy, rules stay in force, a server that
// left receives no calls and one that joined still does; gateways whose entries are lost
// register again. A gateway that starts then receives the newer rules from its peers, and
// later changes are in force on every gateway within propagationLimit.
func TestDirectoryRestored(t *testing.T) {
	const (
		added   = "Path=/calendars Service=Booking # Mei Lin: members browse calendars\n"
		changed = "Path=/plans/* Service=Booking # Ana: project plans\n"
		observe = time.Second
	)
	s := newCluster(t, 0)
	s.directory = directory.New()
	s.directory.PutRules(mustardsaddle.RulesText{Generation: 1, Text: initialRules})
	left := s.addServer("booking-01")
	s.addServer("booking-02")
	old := s.directory.Copy()
	a, b := s.addGateway("gateway-1"), s.addGateway("gateway-2")
	for _, g := range s.gateways {
		eventually(t, waitTimeout, "ready: "+g.name, func() bool { return g.ready(t) })
	}
	registered := func() bool { return slices.Equal(s.directory.Gateways(), []string{"gateway-1", "gateway-2"}) }
	eventually(t, waitTimeout, "both gateways registered", registered)

	s.directory.PutRules(mustardsaddle.RulesText{Generation: 2, Text: initialRules + added})
	s.expectInForce(added)
	joined := s.addServer("booking-03")
	s.directory.RemoveServer("booking-01")
	call := func() {
		for _, g := range []*runningGateway{a, b} {
			if status, body := get(t, "http://"+g.addresses.Callers+"/calendars"); status != http.StatusOK {
				t.Fatalf("gateway %s: got status %d, body %q, want 200", g.name, status, body)
			}
		}
	}
	eventually(t, waitTimeout, "call to the server that joined", func() bool { call(); return joined.Count().Total > 0 })
	for _, g := range []*runningGateway{a, b} {
		eventually(t, propagationLimit, "server that left is not listed", func() bool {
			_, page := get(t, "http://"+g.addresses.Admin+"/servers")
			return !strings.Contains(page, "booking-01")
		})
	}

	before, joinedBefore := left.Count().Total, joined.Count().Total
	s.directory.Restore(old)
	for start := time.Now(); time.Since(start) < observe; {
		call()
	}
	if after := left.Count().Total; after != before {
		t.Errorf("server that left: got %d requests after the restore, want 0", after-before)
	}
	if joined.Count().Total == joinedBefore {
		t.Error("server that joined: got no request after the restore")
	}
	eventually(t, waitTimeout, "lost entries of gateways written again", registered)
	c := s.addGateway("gateway-3")
	eventually(t, waitTimeout, "newer rules at the gateway that started", func() bool { return c.inForce(t, added) })

	s.directory.Rewrite()
	s.directory.PutRules(mustardsaddle.RulesText{Generation: 3, Text: initialRules + added + changed})
	s.expectInForce(changed)
}
