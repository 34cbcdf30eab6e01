package gateway_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/claim"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

// TestForwardedCallReachesServerOnce guards against a call that goes through another
// gateway being changed, sent twice, or given more time than its caller has left.
func TestForwardedCallReachesServerOnce(t *testing.T) {
	var got atomic.Pointer[http.Header]
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		h := r.Header.Clone()
		got.Store(&h)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 4 * time.Second}, s.address())
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	for _, path := range []string{"/x", "/safe"} {
		id := "call" + path
		resp, body, err := do(t, fleet[0].front, http.MethodPost, path, "Lathe=2", "Test-Call", id)
		if err != nil || resp.StatusCode != http.StatusOK || body != "Lathe=2" || resp.Header.Get(header.Outcome) != "Ran" {
			t.Fatalf("POST %s: got %v, body %q, error %v, want 200 with the body", path, resp, body, err)
		}
		if n := executions(id, s); n != 1 {
			t.Errorf("POST %s: got %d executions, want 1", path, n)
		}
		if !strings.HasPrefix(resp.Header.Get(header.Attempt), "gateway-1-") {
			t.Errorf("POST %s: got attempt %q, want one of gateway-1", path, resp.Header.Get(header.Attempt))
		}
		left, _ := strconv.Atoi(got.Load().Get(header.Deadline))
		if left < 1 || left >= 1000 {
			t.Errorf("POST %s: server got %d ms, want less than the 1000 of the caller", path, left)
		}
		if v := got.Load().Get(forward.Header); v != "" {
			t.Errorf("POST %s: server got %s %q, want none", path, forward.Header, v)
		}
	}
}

// TestForgedForwardHeaderHasNoEffect guards against callers who claim that their call was
// forwarded by a gateway.
func TestForgedForwardHeaderHasNoEffect(t *testing.T) {
	var got atomic.Pointer[http.Header]
	s := newCountingServer(t, func(_ http.ResponseWriter, r *http.Request) {
		h := r.Header.Clone()
		got.Store(&h)
		time.Sleep(50 * time.Millisecond)
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 4 * time.Second}, s.address())
	forged := forward.Call{Gateway: "gateway-2", Attempt: "x", Service: "Other", Left: time.Millisecond, Sent: 2, Attempts: 1}
	resp, _, err := do(t, fleet[0].front, http.MethodGet, "/x", "", forward.Header, forged.String())
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get(forward.SentHeader) != "" {
		t.Fatalf("got %v, error %v, want 200 without %s", resp, err, forward.SentHeader)
	}
	if v := got.Load().Get(forward.Header); v != "" {
		t.Errorf("server got %s %q, want none", forward.Header, v)
	}
}

// TestForwardedCallFromOutsideIsRefused guards against calls at the peer address that no
// gateway of the system has forwarded in a known format.
func TestForwardedCallFromOutsideIsRefused(t *testing.T) {
	s := newCountingServer(t, nil)
	fleet := newFleet(t, 2, gateway.Config{Deadline: 4 * time.Second}, s.address())
	known := forward.Call{Gateway: "gateway-1", Attempt: "gateway-1-1", Service: "Booking", Left: time.Second, Attempts: 1}
	unknown := known
	unknown.Gateway = "gateway-9"
	newer := known
	newer.Generation = 2
	tests := []struct {
		name, value string
		want        code.Code
	}{
		{"unknown gateway", unknown.String(), code.PeerUnknown},
		{"malformed", "Format=1&Gateway=%zz", code.PeerBadMessage},
		{"field missing", "Format=1&Gateway=gateway-1", code.PeerBadMessage},
		{"newer format", strings.Replace(known.String(), "Format=1", "Format=2", 1), code.PeerNewerFormat},
		{"newer rules", newer.String(), code.CallNotReady},
		{"valid", known.String(), code.OK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, _, err := do(t, fleet[1].peer, http.MethodPost, "/x", "", forward.Header, tt.value, "Test-Call", tt.name)
			if err != nil {
				t.Fatal(err)
			}
			n := executions(tt.name, s)
			if tt.want == code.OK {
				if resp.StatusCode != http.StatusOK || n != 1 {
					t.Errorf("got status %d and %d executions, want 200 and 1", resp.StatusCode, n)
				}
				return
			}
			answer, err := forward.ParseAnswer(resp.Header)
			if err != nil || answer.Outcome != mustardsaddle.NotRun || answer.Code != tt.want || n != 0 {
				t.Errorf("got %+v, error %v, %d executions, want code %d, NotRun and none", answer, err, n, tt.want)
			}
		})
	}
}

// TestForwardedCallIsNotForwardedAgain guards against loops between gateways that cannot
// reach a service, and against a wrong "not run".
func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	s := newCountingServer(t, nil)
	fleet := newFleet(t, 3, gateway.Config{Deadline: 4 * time.Second}, s.address())
	for _, g := range fleet {
		g.dialer.SetCut(relay.ResetAndRefuse)
	}
	for i := range 5 {
		id := strconv.Itoa(i)
		resp, body, err := do(t, fleet[0].front, http.MethodPost, "/x", "", "Test-Call", id)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(header.Outcome) != "NotRun" {
			t.Fatalf("got %v, body %q, error %v, want 503 and NotRun", resp, body, err)
		}
		if n := executions(id, s); n != 0 {
			t.Errorf("got %d executions, want 0", n)
		}
		if n := fleet[1].carried.Swap(0) + fleet[2].carried.Swap(0); n > 2 || fleet[0].carried.Load() > 0 {
			t.Errorf("got %d forwarded calls at the others and %d back, want at most 2 and 0", n, fleet[0].carried.Load())
		}
	}
}

// TestLostGatewayIsUnknown guards against a call being reported as not run, or run twice,
// after the gateway that carried it broke off.
func TestLostGatewayIsUnknown(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		fault      fault
	}{
		{"response lost", "/x", fault{downBytes: 1}},
		{"request cut", "/x", fault{upBytes: 200}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newCountingServer(t, nil)
			fleet := newFleet(t, 2, gateway.Config{Deadline: 4 * time.Second}, s.address())
			proxy := newFaultProxy(t, fleet[1].peer.Listener.Addr().String(), func(int) fault { return tt.fault })
			setFleet(fleet, func(g *fleetGateway) string {
				if g == fleet[1] {
					return proxy.Addr().String()
				}
				return g.peer.Listener.Addr().String()
			})
			fleet[0].dialer.SetCut(relay.ResetAndRefuse)
			resp, _, err := do(t, fleet[0].front, http.MethodPost, tt.path, strings.Repeat("x", 1000), "Test-Call", tt.name)
			if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(header.Outcome) != "Unknown" {
				t.Errorf("got %v, error %v, want 502 and Unknown", resp, err)
			}
			if n := executions(tt.name, s); n > 1 {
				t.Errorf("got %d executions, want at most 1", n)
			}
		})
	}
}

// TestForwardedAttemptsCountOnce guards against a call being sent to more servers than its
// rule permits because several gateways try in turn.
func TestForwardedAttemptsCountOnce(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Endpoint-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	var servers []*countingServer
	var addresses []string
	for range 6 {
		s := newCountingServer(t, shed)
		servers, addresses = append(servers, s), append(addresses, s.address())
	}
	fleet := newFleet(t, 4, gateway.Config{Deadline: 4 * time.Second, MaxAttempts: 3}, addresses...)
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	for i := range 8 {
		id := strconv.Itoa(i)
		resp, _, err := do(t, fleet[0].front, http.MethodPost, "/safe", "", "Test-Call", id)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got %v, error %v, want 429 or 503", resp, err)
		}
		if n := executions(id, servers...); n > 3 {
			t.Errorf("call %d: got %d arrivals, want at most 3", i, n)
		}
	}
}

// TestCancelOfForwardedCallReachesServer guards against a server working on for a caller
// who has left.
func TestCancelOfForwardedCallReachesServer(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	s := newCountingServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 20 * time.Second}, s.address())
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fleet[0].front.URL+"/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-began
		cancel()
	}()
	resp, err := fleet[0].front.Client().Transport.RoundTrip(r)
	if err == nil {
		_ = resp.Body.Close()
		t.Fatalf("got status %d, want an error", resp.StatusCode)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the server still works after the caller has left")
	}
}

// TestForwardedBodiesAreWhole guards against bodies being cut or reordered on the way
// through two gateways, and against a cut response that looks complete.
func TestForwardedBodiesAreWhole(t *testing.T) {
	const size = 4 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	var cut atomic.Bool
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		received, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if cut.Load() {
			_, _ = w.Write(received[:size/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(received)
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 20 * time.Second}, s.address())
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	post := func() ([]byte, error) {
		// A reader of unknown length makes the request chunked.
		resp, err := fleet[0].front.Client().Post(fleet[0].front.URL+"/x", "text/plain", io.MultiReader(bytes.NewReader(body)))
		if err != nil {
			return nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		return io.ReadAll(resp.Body)
	}
	got, err := post()
	if err != nil || sha256.Sum256(got) != sha256.Sum256(body) {
		t.Errorf("got %d bytes, error %v, want the %d bytes sent", len(got), err, len(body))
	}
	cut.Store(true)
	if got, err := post(); err == nil {
		t.Errorf("got %d bytes without an error, want an error for a cut response", len(got))
	}
}

// TestCarriedCallsAreBounded guards against calls of other gateways taking all of a
// gateway's capacity.
func TestCarriedCallsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := newCountingServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	fleet := newFleet(t, 2, gateway.Config{Deadline: 20 * time.Second}, s.address())
	call := forward.Call{Gateway: "gateway-1", Attempt: "gateway-1-1", Service: "Booking", Left: 10 * time.Second, Attempts: 1}
	results := make(chan code.Code, 12)
	for range 12 {
		go func() {
			resp, _, err := do(t, fleet[1].peer, http.MethodGet, "/x", "", forward.Header, call.String())
			if err != nil {
				results <- code.Internal
				return
			}
			answer, _ := forward.ParseAnswer(resp.Header)
			results <- answer.Code
		}()
	}
	refused := 0
	for range 4 {
		if got := <-results; got != code.PeerBusy {
			t.Errorf("got code %d, want %d", got, code.PeerBusy)
		}
		refused++
	}
	close(release)
	for range 12 - refused {
		if got := <-results; got != code.OK {
			t.Errorf("got code %d, want a response of the server", got)
		}
	}
}

// TestRetryAfterWhileServiceIsLost guards against callers using up their retries at once while
// no gateway can reach the service.
func TestRetryAfterWhileServiceIsLost(t *testing.T) {
	s := newCountingServer(t, nil)
	cfg := gateway.Config{Deadline: 4 * time.Second, Headers: &mustardsaddle.Headers{FractionalRetryAfter: true}}
	fleet := newFleet(t, 1, cfg, s.address())
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	for i := range 3 {
		resp, _, err := do(t, fleet[0].front, http.MethodGet, "/x", "")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("call %d: got %v, error %v, want 503", i, resp, err)
		}
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || seconds < 0.25 || seconds > 0.5 {
			t.Errorf("call %d: got Retry-After %q, want 0.25 to 0.5", i, resp.Header.Get("Retry-After"))
		}
	}
}

// TestForwardedClaimRunsOnce guards against the gateway that gets a claimed call refusing it,
// because the gateway that has forwarded it holds the claim, and against it running twice.
func TestForwardedClaimRunsOnce(t *testing.T) {
	s := newCountingServer(t, nil)
	claims := claim.New(claim.Config{Store: &memoryStore{objects: make(map[string]mustardsaddle.Object)}})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 8 * time.Second, Claims: claims}, s.address())
	for _, g := range fleet {
		g.SetRules(compileRules(t, "Path=/orders Method=POST Service=Booking Repeat=Claim # Tan: orders"))
	}
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	resp, body, err := do(t, fleet[0].front, http.MethodPost, "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	if err != nil || resp.StatusCode != http.StatusOK || body != "M1" {
		t.Errorf("got %v, body %q, error %v, want 200", resp, body, err)
	}
	resp, body, err = do(t, fleet[1].front, http.MethodPost, "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	if err != nil || resp.StatusCode != http.StatusConflict {
		t.Errorf("again through the other gateway: got %v, body %q, error %v, want 409", resp, body, err)
	}
	if n := executions("k1", s); n != 1 {
		t.Errorf("got %d executions, want 1", n)
	}
}

// TestBrokenResponseDoesNotPauseGateway guards against the Retry-After of a response for one
// request whose server broke off being taken for a pause of the gateway that forwarded it: the
// callers of a gateway that is cut off from the servers were refused for as long.
func TestBrokenResponseDoesNotPauseGateway(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	})
	fleet := newFleet(t, 2, gateway.Config{Deadline: 8 * time.Second}, s.address())
	fleet[0].dialer.SetCut(relay.ResetAndRefuse)
	for _, tt := range []struct {
		path string
		want int
	}{
		{"/x", http.StatusOK}, {"/broken", http.StatusBadGateway}, {"/x", http.StatusOK},
	} {
		resp, body, err := do(t, fleet[0].front, http.MethodPost, tt.path, "Lathe=2")
		if err != nil || resp.StatusCode != tt.want {
			t.Errorf("POST %s: got %v, body %q, error %v, want status %d", tt.path, resp, body, err, tt.want)
		}
	}
}
