package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// newTalkativeServer returns the address of a server that sends more behind each response.
func newTalkativeServer(t *testing.T, more string) string {
	return newConnServer(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+more)
		}
	})
}

// TestResponseBeforeItsRequestIsNotBelieved guards against bytes behind a response being taken for
// the response to the next request on the connection, which may be another caller's.
func TestResponseBeforeItsRequestIsNotBelieved(t *testing.T) {
	for name, more := range map[string]string{
		"whole head":  "HTTP/1.1 203 Other\r\nContent-Length: 5\r\n\r\nother",
		"broken head": "HTTP/1.1 000 None\r\nX Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			front, _ := newGateway(t, gateway.Config{Deadline: time.Second, Admission: eagerConfig.Admission}, newTalkativeServer(t, more))
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					for range 500 {
						resp, text, err := do(t, front, http.MethodGet, "/x", "")
						if err != nil || resp.StatusCode == http.StatusNonAuthoritativeInfo {
							t.Errorf("got %v, body %q, error %v, want an answer of the server or a refusal", resp, text, err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestEmptyResponsesAreTaken guards against a response without a body counting as one that came
// before its request, because the connection has begun its next request meanwhile.
func TestEmptyResponsesAreTaken(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	front, _ := newGateway(t, gateway.Config{Deadline: 10 * time.Second, MaxAttempts: 1}, s.address())
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 500 {
				if resp, text, err := do(t, front, http.MethodGet, "/x", ""); err != nil || resp.StatusCode == http.StatusBadGateway {
					t.Errorf("got %v, body %q, error %v, want no failure", resp, text, err)
					return
				}
			}
		})
	}
	wg.Wait()
}
