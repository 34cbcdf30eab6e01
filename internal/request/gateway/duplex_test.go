package gateway_test

import (
	"crypto/sha256"
	"io"
	"net/http"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestAnswerBeginsBeforeTheBodyEnds has a server that sends a body back while it
// arrives. The gateway must not drop the rest of the body when the answer begins.
func TestAnswerBeginsBeforeTheBodyEnds(t *testing.T) {
	j := newJudge(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	front, _ := newGateway(t, gateway.Config{}, j.address())
	const size = 4 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &video{size: size})
	resp, err := front.Client().Post(front.URL+"/scans", "application/octet-stream", &video{size: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := sha256.New()
	n, err := io.Copy(got, resp.Body)
	if err != nil || n != size || string(got.Sum(nil)) != string(want.Sum(nil)) {
		t.Fatalf("got %d bytes, %v, want the %d bytes that were sent", n, err, size)
	}
}
