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

// A store that answers late holds up no call, no start and no change for longer
// than promised.
func TestStoreSlow(t *testing.T) {
	s := newSystem(t, 2)
	s.startReady("gateway-1", "gateway-2")
	s.platform.SetFault(platform.Fault{Delay: 200 * time.Millisecond})
	c := s.addGateway("gateway-3")
	eventually(t, patience, "a gateway that starts with a slow store", func() bool { return c.ready(t) })
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + firstRules + line + "\n")
	s.everywhere(line)
	joined := s.addServer("booking-99")
	eventually(t, patience, "a call to a server that joined", func() bool {
		// More calls at a time than this gateway has slots of its own, since it
		// takes those of other gateways only when its own are busy.
		burst(t, "http://"+c.addresses.Callers+"/rosters", 8)
		return joined.Count().Total > 0
	})
	s.platform.SetFault(platform.Fault{Delay: time.Hour})
	for _, g := range s.gateways {
		for range 20 {
			if status, body := get(t, "http://"+g.addresses.Callers+"/calendars"); status != http.StatusOK {
				t.Fatalf("gateway %s with a store that does not answer: got status %d %s, want 200", g.name, status, body)
			}
		}
	}
}

// A server that is added while the store is down takes calls once it is back.
func TestServerAddedInAnOutage(t *testing.T) {
	s := newSystem(t, 1)
	g := s.startReady("gateway-1")[0]
	s.platform.SetFault(platform.Fault{Down: true})
	joined := s.addServer("booking-99")
	reads := s.platform.Counts().Reads
	eventually(t, patience, "reads that fail", func() bool { return s.platform.Counts().Reads > reads+5 })
	call := func() {
		if status, body := get(t, "http://"+g.addresses.Callers+"/rosters"); status != http.StatusOK {
			t.Fatalf("got status %d %s, want 200", status, body)
		}
	}
	for range 20 {
		call()
	}
	s.platform.SetFault(platform.Fault{})
	eventually(t, patience, "a call to the server that was added", func() bool {
		call()
		return joined.Count().Total > 0
	})
}

// With the store down and a server killed, each caller is told the truth: the
// servers' counts lie between the answers that say Ran and those that do not say
// NotRun. Calls go on, and so do changes of the rules once the store is back.
func TestStoreDownAndServerKilled(t *testing.T) {
	const callers, calls = 6, 40
	s := newSystem(t, 3)
	gateways := s.startReady("gateway-1", "gateway-2")
	s.platform.SetFault(platform.Fault{Down: true})
	before := s.ran()
	var ran, notRun, killed atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range calls {
				if caller == 0 && i == calls/4 {
					s.kill(0)
					killed.Store(ran.Load() + notRun.Load())
				}
				outcome := post(t, "http://"+gateways[(caller+i)%2].addresses.Callers+"/bookings?Work=30ms")
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
	executions, most := s.ran()-before, callers*calls-notRun.Load()
	t.Logf("%d calls: %d Ran, %d NotRun, %d executions, killed after %d", callers*calls, ran.Load(), notRun.Load(), executions, killed.Load())
	if executions < ran.Load() || executions > most {
		t.Errorf("got %d executions, want %d to %d", executions, ran.Load(), most)
	}
	if killed.Load() == callers*calls || ran.Load() <= killed.Load() {
		t.Errorf("got %d calls that ran, %d when the server was killed, want more", ran.Load(), killed.Load())
	}
	s.platform.SetFault(platform.Fault{})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + firstRules + line + "\n")
	s.everywhere(line)
}

// post books, and returns the outcome that the caller is told; "" is a cut.
func post(t *testing.T, url string) string {
	t.Helper()
	resp, err := caller().Post(url, "text/plain", strings.NewReader("a lathe"))
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Mustardsaddle-Outcome")
	if outcome == "Ran" && (err != nil || string(body) != "a lathe") {
		t.Errorf("got %q, %v, want the body that was sent", body, err)
	}
	if outcome == "NotRun" && resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d %s without Retry-After", resp.StatusCode, body)
	}
	return outcome
}

// leavingLimit is the promised time after which a leaving server gets nothing new.
const leavingLimit = 5 * time.Second
