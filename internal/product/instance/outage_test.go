package instance_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// propagationLimit is the specified time limit within which an accepted change of the
// rules must be in force on every gateway.
const propagationLimit = 5 * time.Second

// An outage of the platform does not affect callers. A gateway that starts during it
// gets rules and servers from a peer. A change that is submitted after the outage is in
// force on every gateway within propagationLimit.
func TestStoreOutage(t *testing.T) {
	s := newCluster(t, 2)
	s.submit(initialRules)
	a, b := s.addGateway("gateway-1"), s.addGateway("gateway-2")
	eventually(t, waitTimeout, "both gateways ready", func() bool { return a.ready(t) && b.ready(t) })

	s.platform.SetFault(platform.Fault{Down: true})
	c := s.addGateway("gateway-3", a.addresses.Peer)
	eventually(t, waitTimeout, "gateway started during the outage is ready", func() bool { return c.ready(t) })
	for _, g := range s.gateways {
		for range 20 {
			if status, body := get(t, "http://"+g.addresses.Callers+"/rosters"); status != http.StatusOK {
				t.Fatalf("gateway %s during the outage: got status %d, body %q, want 200", g.name, status, body)
			}
		}
	}

	s.platform.SetFault(platform.Fault{})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + initialRules + line + "\n")
	took := eventually(t, 2*propagationLimit, "change after the outage in force", func() bool {
		return a.inForce(t, line) && b.inForce(t, line) && c.inForce(t, line)
	})
	if took > propagationLimit {
		t.Errorf("change after the outage took %s to be in force, want at most %s", took, propagationLimit)
	}
}

// A server that joins receives calls. A server that is removed from the list receives
// none after leavingLimit. A gateway without peers learns of both only from the server's
// page of the list; in a larger fleet, only some gateways read the page often.
func TestServersJoinAndLeave(t *testing.T) {
	s := newCluster(t, 1)
	s.submit(initialRules)
	g := s.addGateway("gateway-1")
	eventually(t, waitTimeout, "gateway ready", func() bool { return g.ready(t) })
	joined := s.addServer("booking-99")
	call := func() { get(t, "http://"+g.addresses.Callers+"/rosters") }
	eventually(t, waitTimeout, "call to the server that joined", func() bool {
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
		t.Errorf("server that left: got %d requests later than %s after its removal, want 0", after.Total+after.Shed-before.Total-before.Shed, leavingLimit)
	}
}

// A slow store delays no call, does not prevent a gateway from starting, and delays a
// change of the rules for at most propagationLimit.
func TestStoreSlow(t *testing.T) {
	s := newCluster(t, 2)
	s.startReady("gateway-1", "gateway-2")
	s.platform.SetFault(platform.Fault{Delay: 200 * time.Millisecond})
	c := s.addGateway("gateway-3")
	eventually(t, waitTimeout, "gateway started with a slow store is ready", func() bool { return c.ready(t) })
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + initialRules + line + "\n")
	s.expectInForce(line)
	joined := s.addServer("booking-99")
	eventually(t, waitTimeout, "call to the server that joined", func() bool {
		// Sends more concurrent calls than this gateway's own share of the slots: it
		// uses the shares of other gateways only when its own slots are busy.
		getConcurrently(t, "http://"+c.addresses.Callers+"/rosters", 8)
		return joined.Count().Total > 0
	})
	s.platform.SetFault(platform.Fault{Delay: time.Hour})
	for _, g := range s.gateways {
		for range 20 {
			if status, body := get(t, "http://"+g.addresses.Callers+"/calendars"); status != http.StatusOK {
				t.Fatalf("gateway %s with a store that does not respond: got status %d, body %q, want 200", g.name, status, body)
			}
		}
	}
}

// A server that is added while the store is down receives calls after the outage.
func TestServerAddedInAnOutage(t *testing.T) {
	s := newCluster(t, 1)
	g := s.startReady("gateway-1")[0]
	s.platform.SetFault(platform.Fault{Down: true})
	joined := s.addServer("booking-99")
	reads := s.platform.Counts().Reads
	eventually(t, waitTimeout, "reads during the outage", func() bool { return s.platform.Counts().Reads > reads+5 })
	call := func() {
		if status, body := get(t, "http://"+g.addresses.Callers+"/rosters"); status != http.StatusOK {
			t.Fatalf("got status %d, body %q, want 200", status, body)
		}
	}
	for range 20 {
		call()
	}
	s.platform.SetFault(platform.Fault{})
	eventually(t, waitTimeout, "call to the server that was added", func() bool {
		call()
		return joined.Count().Total > 0
	})
}

// With the store down and a server killed, the reported outcomes are correct: the
// number of executions is at least that of the responses with Ran and at most that of
// the responses without NotRun. Calls still succeed, and the rules can be changed
// again after the outage.
func TestStoreDownAndServerKilled(t *testing.T) {
	const callers, calls = 6, 40
	s := newCluster(t, 3)
	gateways := s.startReady("gateway-1", "gateway-2")
	s.platform.SetFault(platform.Fault{Down: true})
	before := s.executions()
	var ran, notRun, killed atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range calls {
				if caller == 0 && i == calls/4 {
					s.killServer(0)
					killed.Store(ran.Load() + notRun.Load())
				}
				outcome := postBooking(t, "http://"+gateways[(caller+i)%2].addresses.Callers+"/bookings?Work=30ms")
				if outcome == "Ran" {
					ran.Add(1)
				}
				if outcome == "NotRun" {
					notRun.Add(1)
				}
			}
		})
	}
	group.Wait()
	executions, most := s.executions()-before, callers*calls-notRun.Load()
	t.Logf("%d calls: %d Ran, %d NotRun, %d executions, server killed after %d responses", callers*calls, ran.Load(), notRun.Load(), executions, killed.Load())
	if executions < ran.Load() || executions > most {
		t.Errorf("got %d executions, want %d to %d", executions, ran.Load(), most)
	}
	if killed.Load() == callers*calls || ran.Load() <= killed.Load() {
		t.Errorf("got %d calls with Ran, want more than the %d responses before the server was killed", ran.Load(), killed.Load())
	}
	s.platform.SetFault(platform.Fault{})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + initialRules + line + "\n")
	s.expectInForce(line)
}

// postBooking sends a booking and returns the outcome that the response reports, or ""
// if the request fails.
func postBooking(t *testing.T, url string) string {
	t.Helper()
	resp, err := newClient().Post(url, "text/plain", strings.NewReader("a lathe"))
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Mustardsaddle-Outcome")
	if outcome == "Ran" && (err != nil || string(body) != "a lathe") {
		t.Errorf("got body %q, error %v, want the request body", body, err)
	}
	if outcome == "NotRun" && resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, body %q without Retry-After", resp.StatusCode, body)
	}
	return outcome
}

// leavingLimit is the specified time limit after which a leaving server must receive no
// new requests.
const leavingLimit = 5 * time.Second
