package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// newBrokenHeadServer returns the address of a server that answers each request with the given
// bytes, and the number of its requests.
func newBrokenHeadServer(t *testing.T, response string) (string, *atomic.Int64) {
	t.Helper()
	n := new(atomic.Int64)
	address := newConnServer(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n.Add(1)
		_, _ = io.WriteString(c, response)
	})
	return address, n
}

// TestBrokenHeadIsNotBelieved guards against what a broken head states being believed: a request
// that may have run is sent to a second server only if it is idempotent, and its caller is not told
// that it has not run.
func TestBrokenHeadIsNotBelieved(t *testing.T) {
	const notRun = "\r\nEndpoint-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{"HTTP/1.1 000 No" + notRun, "HTTP/1.1 101 No" + notRun} {
		for method, want := range map[string]int64{http.MethodPost: 1, http.MethodGet: 2} {
			t.Run(method+" "+head[:12], func(t *testing.T) {
				a, runsA := newBrokenHeadServer(t, head)
				b, runsB := newBrokenHeadServer(t, head)
				front, _ := newGateway(t, eagerConfig, a, b)
				resp, text, err := do(t, front, method, "/x", "")
				if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(header.Outcome) != mustardsaddle.Unknown.String() {
					t.Fatalf("got %v, body %q, error %v, want 502 and Unknown", resp, text, err)
				}
				if n := runsA.Load() + runsB.Load(); n != want {
					t.Errorf("got %d requests at servers, want %d", n, want)
				}
			})
		}
	}
}

// TestBrokenHeadIsRetried guards against the caller of an idempotent request getting a failure
// although another server answers.
func TestBrokenHeadIsRetried(t *testing.T) {
	broken, _ := newBrokenHeadServer(t, "HTTP/1.1 000 None\r\n\r\n")
	sound := newCountingServer(t, nil)
	front, _ := newGateway(t, gateway.Config{Admission: eagerConfig.Admission}, broken, sound.address())
	for i := range 10 {
		if resp, text, err := do(t, front, http.MethodGet, "/x", ""); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("call %d: got %v, body %q, error %v, want 200", i, resp, text, err)
		}
	}
}
