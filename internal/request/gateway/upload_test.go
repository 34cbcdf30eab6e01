package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

const (
	uploadDeadline = 500 * time.Millisecond
	// uploadBytes is more than the buffers between a caller and a server hold.
	uploadBytes = 16 << 20
)

// newReadingServer returns the address of a server that reads a piece of a request body after
// each pause, and never responds.
func newReadingServer(t *testing.T, piece int64, pause time.Duration) string {
	return newConnServer(t, func(c net.Conn) {
		for {
			time.Sleep(pause)
			if _, err := io.CopyN(io.Discard, c, piece); err != nil {
				return
			}
		}
	})
}

// newBoundedGateway returns a gateway whose only rule states uploadDeadline.
func newBoundedGateway(t *testing.T, address string) *httptest.Server {
	t.Helper()
	front, g := newGateway(t, gateway.Config{}, address)
	g.SetRules(compileRules(t, fmt.Sprintf("Path=/* Service=Booking Deadline=%v # Ana: scans\n", uploadDeadline)))
	g.SetServers(time.Now(), "Booking", []mustardsaddle.Server{{Name: address, Address: address, Service: "Booking", Slots: 2, Connections: 200}})
	return front
}

// TestUploadEndsByDeadline guards against an upload that has no response when the deadline of its
// rule has passed: progress of the body replaced the deadline.
func TestUploadEndsByDeadline(t *testing.T) {
	const slack = 300 * time.Millisecond
	tests := []struct {
		name  string
		piece int64
		pause time.Duration
		// begun is what the caller sends of the body, and step what it sends every 20 ms after
		// that.
		size, begun, step int
		want              int
	}{
		{"server that reads nothing", 1, time.Hour, uploadBytes, uploadBytes, 0, http.StatusGatewayTimeout},
		{"server that reads slowly", 64 << 10, 20 * time.Millisecond, uploadBytes, uploadBytes, 0, http.StatusGatewayTimeout},
		{"caller that stalls", 64 << 10, 0, uploadBytes, 1 << 10, 0, http.StatusGatewayTimeout},
		{"caller that sends slowly", 64 << 10, 0, uploadBytes, 1 << 10, 10, http.StatusGatewayTimeout},
		{"caller that stalls with a short body", 64 << 10, 0, 4 << 10, 1 << 10, 0, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			front := newBoundedGateway(t, newReadingServer(t, tt.piece, tt.pause))
			c, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprintf(c, "POST /scans HTTP/1.1\r\nHost: gateway\r\nContent-Length: %d\r\n\r\n", tt.size)
			begun := time.Now()
			go func() {
				_, err := c.Write(make([]byte, tt.begun))
				for err == nil && tt.step > 0 {
					time.Sleep(20 * time.Millisecond)
					_, err = c.Write(make([]byte, tt.step))
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("got %v after %v, want a response", err, time.Since(begun))
			}
			_ = resp.Body.Close()
			if took := time.Since(begun); resp.StatusCode != tt.want || took > uploadDeadline+slack {
				t.Errorf("got status %d after %v, want %d after %v", resp.StatusCode, took, tt.want, uploadDeadline)
			}
		})
	}
}

// TestInformationalResponseAfterLongUpload guards against a response that is lost because an informational
// one came before it, when the default deadline, which does not bound an upload, had passed.
func TestInformationalResponseAfterLongUpload(t *testing.T) {
	const deadline, pause = 100 * time.Millisecond, 30 * time.Millisecond
	address := newConnServer(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	})
	front, _ := newGateway(t, gateway.Config{Deadline: deadline}, address)
	body, end := io.Pipe()
	go func() {
		for range 10 {
			time.Sleep(pause)
			_, _ = io.WriteString(end, "part")
		}
		_ = end.Close()
	}()
	r, err := http.NewRequest(http.MethodPost, front.URL+"/scans", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := front.Client().Transport.RoundTrip(r)
	if err != nil {
		t.Fatalf("got %v, want 200", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(text) != "done" {
		t.Errorf("got status %d, body %q and error %v, want 200 and done", resp.StatusCode, text, err)
	}
}
