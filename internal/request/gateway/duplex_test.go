package gateway_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestResponseStartsBeforeRequestBodyEnds uses a server that echoes the request
// body while it is received. The gateway must not drop the rest of the body when
// the response starts.
func TestResponseStartsBeforeRequestBodyEnds(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	front, _ := newGateway(t, gateway.Config{}, s.address())
	const size = 4 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &patternBody{size: size})
	resp, err := front.Client().Post(front.URL+"/scans", "application/octet-stream", &patternBody{size: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := sha256.New()
	n, err := io.Copy(got, resp.Body)
	if err != nil || n != size || string(got.Sum(nil)) != string(want.Sum(nil)) {
		t.Fatalf("got %d bytes, %v, want the %d bytes of the request body", n, err, size)
	}
}

// TestConnectionAfterUnreadUpload guards against closing a caller's connection because its
// upload was answered before the body was read: the next request on the connection must
// be served.
func TestConnectionAfterUnreadUpload(t *testing.T) {
	const size = 200 << 10
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusConflict)
		_ = rc.Flush()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, c := range []struct {
		name    string
		servers []string
		want    int
	}{
		{"answered early by the server", []string{s.address()}, http.StatusConflict},
		{"refused by the gateway", nil, http.StatusServiceUnavailable},
	} {
		front, _ := newGateway(t, gateway.Config{MaxReplayBytes: 1 << 10}, c.servers...)
		conn, err := net.Dial("tcp", strings.TrimPrefix(front.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for i := range 3 {
			body := strings.Repeat("x", size)
			go func() {
				_, _ = fmt.Fprintf(conn, "POST /scans HTTP/1.1\r\nHost: front\r\nContent-Length: %d\r\n\r\n%s", size, body)
			}()
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != c.want {
				t.Fatalf("%s, request %d: got %v, error %v, want status %d", c.name, i, resp, err, c.want)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}
