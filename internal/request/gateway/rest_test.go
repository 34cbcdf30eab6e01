package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// stallTime is longer than the gateway waits for the rest of a body.
const stallTime = 1300 * time.Millisecond

// newEarlyServer returns the address of a server that responds before it has read the body, and
// then reads what follows without a further response.
func newEarlyServer(t *testing.T) string {
	return newConnServer(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		}
		_, _ = io.Copy(io.Discard, in)
	})
}

// TestRestOfBodyIsNoRequest guards against the rest of a request body, whose sender stalls after
// an early response, being read as the next request on the connection. Its last bytes look like a
// request.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	const inner = "GET /inner HTTP/1.1\r\nHost: gateway\r\n\r\n"
	early := newEarlyServer(t)
	tests := []struct {
		name, fields string
		size         int
		chunked      bool
		want         int
	}{
		{"refused, small rest", "Upgrade: other\r\n", 4 << 10, false, http.StatusNotImplemented},
		{"refused, long rest", "Upgrade: other\r\n", 400 << 10, false, http.StatusNotImplemented},
		{"refused, chunks", "Upgrade: other\r\n", 4 << 10, true, http.StatusNotImplemented},
		{"answered early", "", 100 << 10, false, http.StatusOK},
		{"answered early, chunks", "", 100 << 10, true, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			front, _ := newGateway(t, gateway.Config{}, early)
			c, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", tt.size+len(inner))
			if tt.chunked {
				framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", tt.size+len(inner))
			}
			_, _ = fmt.Fprintf(c, "POST /rosters HTTP/1.1\r\nHost: gateway\r\n%s%s%s", tt.fields, framing, strings.Repeat("x", tt.size/2))
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Fatalf("got %v, %v, want status %d", resp, err, tt.want)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			time.Sleep(stallTime)
			_, _ = io.WriteString(c, strings.Repeat("x", tt.size-tt.size/2)+inner)
			if rest, err := io.ReadAll(in); len(rest) > 0 {
				t.Errorf("got %q, %v after the response, want the end of the connection", rest, err)
			}
		})
	}
}
