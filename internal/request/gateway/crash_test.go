package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

// fatalBody begins the bodies of requests that end servers.
const fatalBody = "fatal"

// fragileServers are servers that end for good under requests with the path /fatal, or a
// body that begins with fatalBody.
type fragileServers struct {
	t testing.TB
	// part makes a server send part of a response before it ends, silent lets it end
	// without closing its connections, and alive makes it reset them and run on.
	part, silent, alive bool
	// etag, if not empty, identifies the body of a partial response.
	etag string
	// status, if not 0, is the status of responses that servers send in place of ending.
	status int

	mu      sync.Mutex
	servers []*httptest.Server
	dark    map[string]bool
	ended   int
	reached int
}

// newFragileServers starts n servers.
func newFragileServers(t testing.TB, n int) *fragileServers {
	f := &fragileServers{t: t, dark: make(map[string]bool)}
	for range n {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handle(s, w, r) }))
		f.servers = append(f.servers, s)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	}
	return f
}

func (f *fragileServers) handle(s *httptest.Server, w http.ResponseWriter, r *http.Request) {
	start := make([]byte, len(fatalBody))
	_, _ = io.ReadFull(r.Body, start)
	if !strings.HasPrefix(r.URL.Path, "/safe/fatal") && string(start) != fatalBody {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("done"))
		return
	}
	f.mu.Lock()
	f.reached++
	if f.status != 0 {
		defer f.mu.Unlock()
		w.WriteHeader(f.status)
		return
	}
	f.ended++
	if f.silent {
		f.dark[s.Listener.Addr().String()] = true
	}
	f.mu.Unlock()
	if f.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.part {
		w.Header().Set("Content-Length", strconv.Itoa(1<<20))
		if f.etag != "" {
			w.Header().Set("Etag", f.etag)
		}
		_, _ = w.Write(make([]byte, 1<<19))
		_ = http.NewResponseController(w).Flush()
	}
	if !f.alive {
		_ = s.Listener.Close()
	}
	s.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// dial opens connections to servers; those that have ended silently do not accept any.
func (f *fragileServers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	dark := f.dark[address]
	f.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

// counts returns how many servers have ended, and how many such requests reached one.
func (f *fragileServers) counts() (ended, reached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended, f.reached
}

// newFragileGateway returns a gateway for the servers.
func newFragileGateway(t testing.TB, f *fragileServers, q quarantine.Config) *httptest.Server {
	t.Helper()
	file, problems := rule.Parse(rules)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	cfg := gateway.Config{Name: "gateway-1", Deadline: time.Second, DialServer: f.dial, Quarantine: q}
	cfg.Admission.HedgeShare, cfg.Admission.RetryShare = -1, 1
	g := gateway.New(cfg)
	g.SetRules(rule.Compile(file))
	var servers []mustardsaddle.Server
	for _, s := range f.servers {
		address := s.Listener.Addr().String()
		servers = append(servers, mustardsaddle.Server{Name: address, Address: address, Service: "Booking", Slots: 8, Connections: 200})
	}
	g.SetServers(time.Now(), "Booking", servers)
	front := httptest.NewServer(g)
	t.Cleanup(func() { front.Close(); g.Close() })
	return front
}

// send sends a request. A streamed body states no length.
func send(t testing.TB, front *httptest.Server, method, path, body string, streamed bool) (status int, h http.Header) {
	t.Helper()
	var reader io.Reader = strings.NewReader(body)
	if streamed {
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequest(method, front.URL+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := front.Client().Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// TestEachWayToEndServersLeadsToQuarantine guards against a request under which servers end
// in some other way than by closing their connections at once being sent on and on.
func TestEachWayToEndServersLeadsToQuarantine(t *testing.T) {
	long := fatalBody + strings.Repeat("x", 2*identity.MaxBodyBytes)
	tests := []struct {
		name, method, path, body string
		etag                     string
		streamed, part, silent   bool
	}{
		{name: "read", method: http.MethodGet, path: "/safe/fatal"},
		{name: "after part of the response", method: http.MethodGet, path: "/safe/fatal", part: true},
		{name: "resumed download", method: http.MethodGet, path: "/safe/fatal", part: true, etag: `"v1"`},
		{name: "silently", method: http.MethodGet, path: "/safe/fatal", silent: true},
		{name: "write", method: http.MethodPost, path: "/x", body: fatalBody},
		{name: "streamed write", method: http.MethodPost, path: "/x", body: fatalBody, streamed: true},
		{name: "long streamed write", method: http.MethodPost, path: "/x", body: long, streamed: true},
		{name: "write, silently", method: http.MethodPost, path: "/x", body: fatalBody, silent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFragileServers(t, 12)
			f.part, f.silent, f.etag = tt.part, tt.silent, tt.etag
			front := newFragileGateway(t, f, quarantine.Config{})
			for range 8 {
				send(t, front, tt.method, tt.path, tt.body, tt.streamed)
			}
			if ended, _ := f.counts(); ended < 3 || ended > 4 {
				t.Errorf("after 8 requests: got %d servers that ended, want 3 or 4", ended)
			}
			status, h := send(t, front, tt.method, tt.path, tt.body, tt.streamed)
			if status != http.StatusServiceUnavailable || h.Get(header.Code) != "4016" || h.Get(header.Outcome) != "NotRun" || h.Get("Retry-After") == "" {
				t.Errorf("got status %d, header %v, want 503 with code 4016, NotRun and Retry-After", status, h)
			}
			if status, _ := send(t, front, http.MethodPost, "/x", "Lathe=2", tt.streamed); status != http.StatusOK {
				t.Errorf("another request: got status %d, want 200", status)
			}
		})
	}
}

// TestSlowBodyDoesNotHideQuarantinedRequest guards against a quarantined request being sent
// because its body arrives so slowly that it is not known in time.
func TestSlowBodyDoesNotHideQuarantinedRequest(t *testing.T) {
	f := newFragileServers(t, 8)
	front := newFragileGateway(t, f, quarantine.Config{})
	for range 3 {
		send(t, front, http.MethodPost, "/x", fatalBody, true)
	}
	before, _ := f.counts()
	body, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() { _, _ = w.Write([]byte(fatalBody)) }()
	req, err := http.NewRequest(http.MethodPost, front.URL+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := front.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(header.Code) != "4017" {
		t.Errorf("got status %d, code %s, want 503 with code 4017", resp.StatusCode, resp.Header.Get(header.Code))
	}
	if ended, _ := f.counts(); before != 3 || ended != before {
		t.Errorf("got %d servers that ended, then %d, want 3", before, ended)
	}
}

// TestResponseClearsSuspect guards against a request that servers execute staying suspect, and
// against one that a server rejected before execution being cleared.
func TestResponseClearsSuspect(t *testing.T) {
	for status, clears := range map[int]bool{
		http.StatusOK: true, http.StatusNotFound: true, http.StatusConflict: true,
		http.StatusBadRequest: false, http.StatusRequestEntityTooLarge: false, http.StatusTooManyRequests: false, http.StatusInternalServerError: false,
	} {
		f := newFragileServers(t, 6)
		front := newFragileGateway(t, f, quarantine.Config{})
		fatal := func(status int) {
			f.mu.Lock()
			f.status = status
			f.mu.Unlock()
			send(t, front, http.MethodPost, "/x", fatalBody, false)
		}
		fatal(0)
		fatal(0)
		fatal(status)
		fatal(0)
		got, _ := send(t, front, http.MethodPost, "/x", fatalBody, false)
		if refused := got == http.StatusServiceUnavailable; refused == clears {
			t.Errorf("status %d after two crashes, then a third: got status %d, want cleared %t", status, got, clears)
		}
	}
}

// TestResetConnectionsAreNoEvidence guards against a request being quarantined because its
// connections break although its servers run on.
func TestResetConnectionsAreNoEvidence(t *testing.T) {
	f := newFragileServers(t, 4)
	f.alive = true
	front := newFragileGateway(t, f, quarantine.Config{})
	const requests = 8
	for range requests {
		if status, h := send(t, front, http.MethodPost, "/x", fatalBody, false); status != http.StatusBadGateway {
			t.Errorf("got status %d, header %v, want 502", status, h)
		}
	}
	if _, reached := f.counts(); reached != requests {
		t.Errorf("got %d requests that reached servers, want %d", reached, requests)
	}
}

// TestQuarantineCanBeDisabled checks that without a number of crashes every request is sent.
func TestQuarantineCanBeDisabled(t *testing.T) {
	f := newFragileServers(t, 8)
	front := newFragileGateway(t, f, quarantine.Config{Crashes: -1})
	for range 6 {
		send(t, front, http.MethodPost, "/x", fatalBody, false)
	}
	if ended, _ := f.counts(); ended != 6 {
		t.Errorf("after 6 requests: got %d servers that ended, want 6", ended)
	}
}
