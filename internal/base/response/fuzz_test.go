package response_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// FuzzHead guards against heads that are validated otherwise than they are parsed: what passes and
// is parsed has a status and names of HTTP, wherever reads divide it.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody",
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.0 503 No\r\nX: y\r\n z: w\r\n\r\n",
		"\r\nHTTP/1.1  200\nX:\n\t\nContent-Length : 1\n\n",
		"HTTP/1.1 +20 OK\r\n X: y\r\r\n\r\n",
		"HTTP/1.1 101 Other\r\n: y\r\n\r\n",
	} {
		f.Add(seed, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, min(size, len(text)))
		err := readInSegments(t, response.Config{}, text, max(1, len(text)))
		if segmented := readInSegments(t, response.Config{}, text, size); !errors.Is(segmented, err) {
			t.Fatalf("got %v in segments of %d bytes, want %v", segmented, size, err)
		}
		if err == nil {
			checkParsed(t, text)
		}
	})
}

// checkParsed checks the heads of a text that has passed as a response.
func checkParsed(t *testing.T, text string) {
	t.Helper()
	in := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols || resp.ProtoMajor != 1 {
			t.Fatalf("got %s %d, want a status of HTTP/1", resp.Proto, resp.StatusCode)
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("got a field with the name %q, want a token", name)
			}
		}
		if resp.StatusCode >= http.StatusOK {
			return
		}
	}
}
