package instance_test

import (
	"net/http"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// inForceLimit is the promised time in which an accepted change is in force.
const inForceLimit = 5 * time.Second

// An outage of the platform changes nothing for callers; a gateway that starts
// in it takes rules and servers from a peer; and a change that is submitted once
// it is over is in force everywhere in the promised time.
func TestStoreOutage(t *testing.T) {
	s := newSystem(t, 2)
	s.submit(firstRules)
	a, b := s.addGateway("gateway-1"), s.addGateway("gateway-2")
	eventually(t, patience, "two ready gateways", func() bool { return a.ready(t) && b.ready(t) })

	s.platform.SetFault(platform.Fault{Down: true})
	c := s.addGateway("gateway-3", a.addresses.Peer)
	eventually(t, patience, "a gateway that starts in the outage", func() bool { return c.ready(t) })
	for _, g := range s.gateways {
		for range 20 {
			if status, body := get(t, "http://"+g.addresses.Callers+"/rosters"); status != http.StatusOK {
				t.Fatalf("gateway %s in the outage: got status %d %s, want 200", g.name, status, body)
			}
		}
	}

	s.platform.SetFault(platform.Fault{})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + firstRules + line + "\n")
	took := eventually(t, 2*inForceLimit, "a change after the outage", func() bool {
		return a.inForce(t, line) && b.inForce(t, line) && c.inForce(t, line)
	})
	if took > inForceLimit {
		t.Errorf("a change after the outage was in force after %s, want at most %s", took, inForceLimit)
	}
}

// A server that joins takes calls, and one that the list shows as leaving takes
// none five seconds later, although only some gateways read its page often.
func TestServersJoinAndLeave(t *testing.T) {
	s := newSystem(t, 1)
	s.submit(firstRules)
	g := s.addGateway("gateway-1")
	eventually(t, patience, "a ready gateway", func() bool { return g.ready(t) })
	joined := s.addServer("booking-99")
	call := func() { get(t, "http://"+g.addresses.Callers+"/rosters") }
	eventually(t, patience, "a call to the server that joined", func() bool {
		call()
		return joined.Count().Total > 0
	})
	s.platform.RemoveMachine(time.Now(), "booking-99")
	time.Sleep(leavingLimit)
	before := joined.Count()
	for range 200 {
		call()
	}
	if after := joined.Count(); after.Total != before.Total || after.Shed != before.Shed {
		t.Errorf("the server that left got %d requests after %s, want 0", after.Total+after.Shed-before.Total-before.Shed, leavingLimit)
	}
}

// leavingLimit is the promised time after which a leaving server gets nothing new.
const leavingLimit = 5 * time.Second
