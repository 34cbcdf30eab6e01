package gateway_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

const (
	planBytes  = 400 << 10
	pieceBytes = 20 << 10
)

// plan returns the body of a download.
func plan() []byte {
	body, _ := io.ReadAll(&patternBody{size: planBytes})
	return body
}

// pauses is a body that is read in pieces, with a pause before each.
type pauses struct {
	*bytes.Reader
	pause func() time.Duration
}

func (p pauses) Read(b []byte) (int, error) {
	time.Sleep(p.pause())
	return p.Reader.Read(b[:min(len(b), pieceBytes)])
}

// WriteTo is hidden, so that the body is read in pieces.
func (p pauses) WriteTo(io.Writer) (int64, error) { return 0, errors.ErrUnsupported }

// servePlan sends a plan, or a part of it, in pieces.
func servePlan(w http.ResponseWriter, r *http.Request, pause func() time.Duration) {
	w.Header().Set("Etag", `"v1"`)
	w.Header().Set("Content-Type", "text/plain") // else the begin is read twice
	http.ServeContent(flushing{w}, r, "plan", time.Time{}, struct{ io.ReadSeeker }{pauses{bytes.NewReader(plan()), pause}})
}

// flushing sends each write at once.
type flushing struct{ http.ResponseWriter }

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	_ = http.NewResponseController(f.ResponseWriter).Flush()
	return n, err
}

// newPlanGateway returns a gateway whose rule states a deadline, for servers at the addresses.
func newPlanGateway(t *testing.T, deadline time.Duration, addresses ...string) *httptest.Server {
	t.Helper()
	front, g := newGateway(t, gateway.Config{}, addresses...)
	g.SetRules(compileRules(t, fmt.Sprintf("Path=/* Service=Booking Deadline=%v Repeat=Yes Attempts=4 # Ana: plans\n", deadline)))
	var servers []mustardsaddle.Server
	for _, a := range addresses {
		servers = append(servers, mustardsaddle.Server{Name: a, Address: a, Service: "Booking", Slots: 16, Connections: 200})
	}
	g.SetServers(time.Now(), "Booking", servers)
	return front
}

// getPlan downloads a plan. An incomplete one has an error.
func getPlan(front *httptest.Server) ([]byte, time.Duration, error) {
	begun := time.Now()
	r, err := http.NewRequest(http.MethodGet, front.URL+"/plan", http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	resp, err := front.Client().Transport.RoundTrip(r)
	if err != nil {
		return nil, time.Since(begun), err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, time.Since(begun), fmt.Errorf("got status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	return body, time.Since(begun), err
}

// TestSoundSlowDownloadIsNotCut guards against a response that still moves at the deadline of its rule
// being cut: its caller is being served.
func TestSoundSlowDownloadIsNotCut(t *testing.T) {
	const deadline = 500 * time.Millisecond
	for _, chunked := range []bool{false, true} {
		for _, through := range []bool{false, true} {
			t.Run(fmt.Sprintf("chunked %v, through another gateway %v", chunked, through), func(t *testing.T) {
				t.Parallel()
				s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
					header := true
					pause := func() time.Duration {
						if header {
							header = false
							return 0
						}
						return time.Duration(20+rand.IntN(280)) * time.Millisecond
					}
					if chunked {
						_, _ = io.Copy(flushing{w}, struct{ io.Reader }{pauses{bytes.NewReader(plan()), pause}})
						return
					}
					servePlan(w, r, pause)
				})
				var front *httptest.Server
				if through {
					fleet := newFleet(t, 2, gateway.Config{}, s.address())
					for _, g := range fleet {
						g.SetRules(compileRules(t, fmt.Sprintf("Path=/* Service=Booking Deadline=%v # Ana: plans\n", deadline)))
					}
					fleet[0].dialer.SetCut(relay.ResetAndRefuse)
					front = fleet[0].front
				} else {
					front = newPlanGateway(t, deadline, s.address())
				}
				got, took, err := getPlan(front)
				if err != nil || !bytes.Equal(got, plan()) {
					t.Errorf("got %d bytes and error %v after %s, want the whole plan", len(got), err, took)
				}
				if took < 2*deadline {
					t.Errorf("the download took %s, want one that lasts much longer than its deadline of %s", took, deadline)
				}
			})
		}
	}
}

// TestStandingDownloadGoesOnElsewhere guards against the caller of a download whose server falls silent
// waiting until its deadline, although another server can send the rest.
func TestStandingDownloadGoesOnElsewhere(t *testing.T) {
	const deadline = 3 * time.Second
	var first atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !first.CompareAndSwap(false, true) {
			servePlan(w, r, func() time.Duration { return 0 })
			return
		}
		n := 0
		servePlan(w, r, func() time.Duration {
			if n++; n > 5 {
				<-r.Context().Done()
			}
			return 0
		})
	}
	front := newPlanGateway(t, deadline, newCountingServer(t, serve).address(), newCountingServer(t, serve).address())
	got, took, err := getPlan(front)
	if err != nil || !bytes.Equal(got, plan()) || took > deadline/2 {
		t.Errorf("got %d bytes and error %v after %s, want the whole plan within %s", len(got), err, took, deadline/2)
	}
}

// TestPausingDownloadGoesOn guards against a download whose server pauses being cut, or losing a part,
// because another server that was asked for the rest cannot send it.
func TestPausingDownloadGoesOn(t *testing.T) {
	const deadline = 2 * time.Second
	refuse := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	tests := map[string]func(w http.ResponseWriter, r *http.Request){
		"refused":      func(w http.ResponseWriter, _ *http.Request) { refuse(w) },
		"broken":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":       func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"another body": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, planBytes)) },
		"late": func(w http.ResponseWriter, r *http.Request) {
			servePlan(w, r, func() time.Duration { return 300 * time.Millisecond })
		},
		"without delay": func(w http.ResponseWriter, r *http.Request) { servePlan(w, r, func() time.Duration { return 0 }) },
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serve := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Range") != "" {
					rest(w, r)
					return
				}
				n := 0
				servePlan(w, r, func() time.Duration {
					if n++; n == 5 {
						return 700 * time.Millisecond
					}
					return 0
				})
			}
			front := newPlanGateway(t, deadline, newCountingServer(t, serve).address(), newCountingServer(t, serve).address())
			got, took, err := getPlan(front)
			if err != nil || !bytes.Equal(got, plan()) {
				t.Errorf("got %d bytes and error %v after %s, want the whole plan", len(got), err, took)
			}
		})
	}
}

// TestDownloadIsWholeOrCut guards against a download of which a part is missing, or delivered twice,
// where servers pause, break off and take over from each other.
func TestDownloadIsWholeOrCut(t *testing.T) {
	const (
		deadline = 600 * time.Millisecond
		longest  = 250 * time.Millisecond
	)
	serve := func(w http.ResponseWriter, r *http.Request) {
		servePlan(w, r, func() time.Duration {
			switch rand.IntN(20) {
			case 0:
				panic(http.ErrAbortHandler)
			case 1, 2:
				return time.Duration(rand.Int64N(int64(longest)))
			default:
				return 0
			}
		})
	}
	front := newPlanGateway(t, deadline, newCountingServer(t, serve).address(), newCountingServer(t, serve).address(), newCountingServer(t, serve).address())
	whole, done := 0, make(chan bool)
	for range 64 {
		go func() {
			got, _, err := getPlan(front)
			if err == nil && !bytes.Equal(got, plan()) {
				t.Errorf("got %d bytes that are not the plan", len(got))
			}
			done <- err == nil
		}()
	}
	for range 64 {
		if <-done {
			whole++
		}
	}
	if whole == 0 {
		t.Error("got no whole download, want some")
	}
	t.Logf("%d of 64 downloads were whole", whole)
}
