package connection_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// lastCall is a call of CountedConfig.Last.
type lastCall struct {
	status int
	fields string
}

// readInSegments sends text to a counted connection in segments, and returns the calls of Last
// and the error with which reading ended.
func readInSegments(t *testing.T, text string, size int, heads *buffer.Pool) ([]lastCall, *connection.CountedConn, error) {
	t.Helper()
	near, far := pair(t)
	var calls []lastCall
	c := connection.NewCountedConn(near, connection.CountedConfig{
		Heads: heads, LastFields: []string{"not-run", "Request-Id"},
		Last: func(status int, h http.Header) bool {
			calls = append(calls, lastCall{status, fmt.Sprintf("%s|%s|%s", h.Get("Not-Run"), h.Get("Request-Id"), h.Get("X"))})
			return false
		},
	})
	go func() {
		for at := 0; at < len(text); at += size {
			if _, err := io.WriteString(far, text[at:min(at+size, len(text))]); err != nil {
				return
			}
		}
		_ = far.Close()
	}()
	c.BeginRequest()
	_, err := io.Copy(io.Discard, c)
	return calls, c, err
}

// TestHeadIsFoundInAnySegments guards against the header of a response being missed, or taken for
// another, because of where reads divide it.
func TestHeadIsFoundInAnySegments(t *testing.T) {
	long := strings.Repeat("x", 5000)
	tests := []struct {
		name, text string
		want       string
	}{
		{"refusal", "HTTP/1.1 503 No\r\nnot-run: 1\r\nX: y\r\n\r\nbody\r\n\r\n", "[{503 1||}]"},
		{"success", "HTTP/1.1 200 OK\r\nNot-Run: 1\r\n\r\n", "[]"},
		{"no field that matters", "HTTP/1.1 421 No\r\nX: y\r\n\r\n", "[{421 ||}]"},
		{"lines without returns", "HTTP/1.1 503 No\nNOT-RUN:1\n\n", "[{503 1||}]"},
		{"an empty line first", "\r\nHTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n", "[{503 1||}]"},
		{"informational responses first", "HTTP/1.1 103 Hints\r\nNot-Run: 2\r\n\r\nHTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 No\r\nRequest-Id: a\r\n\r\n", "[{503 |a|}]"},
		{"the first of two values", "HTTP/1.1 503 No\r\nNot-Run:\r\nNot-Run: 1\r\n\r\n", "[{503 ||}]"},
		{"long lines", "HTTP/1.1 503 " + long + "\r\nX: " + long + "\r\n" + long + ": 1\r\nNot-Run: 1\r\n\r\n", "[{503 1||}]"},
		{"a value behind many spaces", "HTTP/1.1 503 No\r\nNot-Run:" + strings.Repeat(" ", 5000) + "1\r\n\r\n", "[{503 ...||}]"},
		{"no end", "HTTP/1.1 503 No\r\nNot-Run: 1\r\n", "[]"},
		{"more than a transport accepts", "HTTP/1.1 503 No\r\n" + strings.Repeat("X: "+long+"\r\n", 60) + "Not-Run: 1\r\n\r\n", "[]"},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 2, 3, 7, 4096} {
			if got, _, err := readInSegments(t, tt.text, size, nil); err != nil || fmt.Sprint(got) != tt.want {
				t.Errorf("%s in segments of %d bytes: got %v, error %v, want %s", tt.name, size, got, err, tt.want)
			}
		}
	}
}

// TestLargeHeadersShareABudget guards against headers of many responses at once using up the memory
// of a process, and against a budget that is not returned.
func TestLargeHeadersShareABudget(t *testing.T) {
	const budget = 256 << 10
	heads := buffer.NewPool(budget)
	largeHead := func(fields int) string {
		return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X:\r\n", fields) + "\r\n"
	}
	_, first, err := readInSegments(t, largeHead(600), 100, heads)
	if err != nil {
		t.Fatalf("header within the budget: got error %v, want none", err)
	}
	_, refused, err := readInSegments(t, largeHead(600), 100, heads)
	if err == nil || errors.Is(err, io.EOF) {
		t.Errorf("header beyond the budget: got error %v, want one", err)
	}
	_ = refused.Close()
	if _, _, err := readInSegments(t, largeHead(20), 100, heads); err != nil {
		t.Errorf("small header beyond the budget: got error %v, want none", err)
	}
	_ = first.Close()
	_ = first.Close()
	_, second, err := readInSegments(t, largeHead(600), 100, heads)
	if err != nil {
		t.Errorf("header after the budget was returned: got error %v, want none", err)
	}
	second.BeginRequest()
	if !heads.TryTake(budget) {
		t.Errorf("got a budget that is not returned before the next request, want all of it")
	}
}
