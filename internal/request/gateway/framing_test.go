package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// newScriptedServer returns the address of a server that answers the first request on each
// connection with the given bytes and then closes the connection, or resets it.
func newScriptedServer(t *testing.T, response string, reset bool) string {
	return newConnServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// rawGet sends a request over a connection of its own and returns all bytes of the response.
func rawGet(t *testing.T, front *httptest.Server, proto string) string {
	t.Helper()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /rosters %s\r\nHost: sheds.example\r\nConnection: close\r\n\r\n", proto)
	b, _ := io.ReadAll(c)
	return string(b)
}

// parse returns the status and the body of a response, after informational ones. The error is not nil if the response is
// not complete.
func parse(raw string) (status int, body string, err error) {
	in := bufio.NewReader(strings.NewReader(raw))
	resp, err := http.ReadResponse(in, nil)
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err = errNoLength
	}
	return resp.StatusCode, string(b), err
}

var errNoLength = errors.New("read response: only the close of the connection marks its end")

// TestResponseWithoutLengthGetsOne guards against a response without a length being passed on
// without one: cut by the end of its gateway it looked complete.
func TestResponseWithoutLengthGetsOne(t *testing.T) {
	const text = "a plan of a lathe"
	long := strings.Repeat(text, 20_000)
	responses := []struct{ name, response, body string }{
		{"close marks the end", "HTTP/1.1 200 OK\r\n\r\n" + text, text},
		{"close marks the end, long", "HTTP/1.1 200 OK\r\n\r\n" + long, long},
		{"close marks the end, empty", "HTTP/1.1 200 OK\r\n\r\n", ""},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + text, text},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n", "wood"},
	}
	for _, r := range responses {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(r.name+" over "+proto, func(t *testing.T) {
				front, _ := newGateway(t, gateway.Config{}, newScriptedServer(t, r.response, false))
				status, body, err := parse(rawGet(t, front, proto))
				if status != http.StatusOK || body != r.body || err != nil {
					t.Errorf("got status %d, %d bytes, %v, want 200, %d bytes and a stated end", status, len(body), err, len(r.body))
				}
			})
		}
	}
}

// TestCutResponseIsNotWhole guards against a response that breaks off, or whose trailer is broken,
// being passed on as a complete one.
func TestCutResponseIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	responses := []struct {
		name, response string
		reset          bool
	}{
		{"close marks the end, reset", "HTTP/1.1 200 OK\r\n\r\n" + long, true},
		{"chunks cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n", false},
		{"last chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\n", false},
		{"trailer cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\nwood\r\n0\r\nA: b", false},
		{"blank in a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\nX Odd: 1\r\n\r\n", false},
		{"blank behind a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\nwood\r\n0\r\nA : 1\r\n\r\n", false},
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwood", false},
		{"long, length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long, false},
	}
	for _, r := range responses {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(r.name+" over "+proto, func(t *testing.T) {
				front, _ := newGateway(t, gateway.Config{}, newScriptedServer(t, r.response, r.reset))
				status, body, err := parse(rawGet(t, front, proto))
				if status == http.StatusOK && err == nil {
					t.Errorf("got status %d and a complete body of %d bytes, want a failure or a visible cut", status, len(body))
				}
			})
		}
	}
}

// TestCutHeadIsNoResponse guards against a response whose header breaks off being passed on as
// a success with an empty or short body. The connection is closed at each byte of the header
// in turn.
func TestCutHeadIsNoResponse(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 12\n\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nEndpoint-Server: booking-01\r\n\r\n",
	}
	for i, head := range heads {
		for n := range len(head) {
			for _, reset := range []bool{false, true} {
				if reset && n%8 != 0 {
					continue
				}
				t.Run(fmt.Sprintf("head %d, %d bytes, reset %v", i, n, reset), func(t *testing.T) {
					t.Parallel()
					cfg := gateway.Config{Admission: admission.Options{RetryShare: -1}}
					front, _ := newGateway(t, cfg, newScriptedServer(t, head[:n], reset))
					status, body, err := parse(rawGet(t, front, "HTTP/1.1"))
					if status < http.StatusInternalServerError || err != nil {
						t.Errorf("got status %d, body %q, %v, want a failure", status, body, err)
					}
				})
			}
		}
	}
}
