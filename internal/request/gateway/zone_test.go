package gateway_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// zonePair is a gateway with one server in its own zone and one in another.
type zonePair struct {
	front   *httptest.Server
	log     bytes.Buffer
	metrics tally.TestScope
	// near is the load that the server of the own zone reports, and late how long its load
	// reports take.
	near, late atomic.Int64
	// nearRequests and farRequests count the requests to each server.
	nearRequests, farRequests atomic.Int64
}

// newZonePair starts the servers and the gateway, which relies on load reports that are no
// older than maxReportAge.
func newZonePair(t *testing.T, maxReportAge time.Duration) *zonePair {
	t.Helper()
	const ratePerSecond, size = 1000, 1 << 20
	p := &zonePair{metrics: tally.NewTestScope("", nil)}
	load := func(w http.ResponseWriter, inFlight int64) {
		w.Header().Set(report.Header, report.Format(int(inFlight), 2, false))
	}
	home := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		p.nearRequests.Add(1)
		if r.URL.Path != "/rosters" {
			time.Sleep(time.Duration(p.late.Load()))
		}
		load(w, p.near.Load())
	})
	away := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) { p.farRequests.Add(1); load(w, 0) })
	front, g := newGateway(t, gateway.Config{
		Logger: zerolog.New(zerolog.SyncWriter(&p.log)), Metrics: p.metrics,
		Admission: admission.Options{
			Zone: "zone-a", LoadQueriesPerServer: ratePerSecond,
			Budget: report.NewBudget(report.BudgetConfig{MessagesPerSecond: ratePerSecond, BytesPerSecond: size}),
			NewChooser: func(string) mustardsaddle.Chooser {
				return survey.New(survey.Config{MaxReportAge: maxReportAge, Zones: &spill.Config{Price: 15 * time.Millisecond}})
			},
		},
	})
	p.front = front
	g.SetServers(time.Now(), "Booking", []mustardsaddle.Server{
		{Name: "near", Address: home.address(), Service: "Booking", Zone: "zone-a", Slots: 2},
		{Name: "far", Address: away.address(), Service: "Booking", Zone: "zone-b", Slots: 2},
	})
	return p
}

// call makes calls that must succeed.
func (p *zonePair) call(t *testing.T, n int) {
	t.Helper()
	for range n {
		if resp, text, err := do(t, p.front, http.MethodGet, "/rosters", ""); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v %q %v, want 200", resp, text, err)
		}
	}
}

// left returns the number of attempts that were counted as having left the zone because it
// was busy.
func (p *zonePair) left() int64 {
	left := int64(0)
	for _, c := range p.metrics.Snapshot().Counters() {
		if c.Name() == "LeftZone" && c.Tags()["Zone"] == "zone-b" && c.Tags()["Reason"] == "Busy" {
			left += c.Value()
		}
	}
	return left
}

// TestCallsLeaveAFullZone guards against calls and load queries that go to another zone
// while the server of the own zone has room. Reports stay valid for longer than the test
// takes, so that a load query that the machine delays does not count as a full zone; only
// the first call has no report to rely on. Once the server is full, calls go to the other
// zone, and the log and the metrics say so.
func TestCallsLeaveAFullZone(t *testing.T) {
	const calls = 20
	p := newZonePair(t, time.Hour)
	for p.nearRequests.Load() < 2 {
		p.call(t, 1)
	}
	nearBefore, farBefore := p.nearRequests.Load(), p.farRequests.Load()
	p.call(t, calls)
	if near, far := p.nearRequests.Load()-nearBefore, p.farRequests.Load()-farBefore; far != 0 || near < calls {
		t.Errorf("got %d requests to the other zone and %d to the own one, want none and at least %d", far, near, calls)
	}
	p = newZonePair(t, 0)
	p.call(t, 1)
	p.near.Store(3) // full, with one request that waits
	before := p.left()
	p.call(t, calls)
	// The first call may still rely on the last report of the near server.
	if left := p.left() - before; left < calls-1 || p.farRequests.Load() < left {
		t.Errorf("got %d attempts counted that left the zone and %d requests there, want at least %d", left, p.farRequests.Load(), calls-1)
	}
	if want := `"Zone":"zone-b","Left":"Busy"`; !strings.Contains(p.log.String(), want) {
		t.Errorf("got no route line with %s", want)
	}
}

// TestCallsLeaveAZoneThatReportsLate guards against calls that wait for servers of the own
// zone that do not say in time whether they have room.
func TestCallsLeaveAZoneThatReportsLate(t *testing.T) {
	const (
		calls        = 5
		maxReportAge = 50 * time.Millisecond
	)
	p := newZonePair(t, maxReportAge)
	for p.nearRequests.Load() < 2 {
		p.call(t, 1)
	}
	p.late.Store(int64(100 * time.Millisecond))
	time.Sleep(2 * maxReportAge)
	p.call(t, calls)
	if left := p.left(); left == 0 {
		t.Errorf("got no attempt of %d that left the zone, want some", calls)
	}
}
