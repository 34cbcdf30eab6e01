package gateway_test

import (
	"crypto/sha256"
	"io"
	"net/http"
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
