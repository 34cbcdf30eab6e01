package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
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

// TestBrokenHeadIsNoRestOfDownload guards against a download that is continued with a response whose
// head is broken.
func TestBrokenHeadIsNoRestOfDownload(t *testing.T) {
	const size, part = 400 << 10, 100 << 10
	body := strings.Repeat("v", size)
	serve := func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.Header.Get("Range") == "" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nEtag: \"a\"\r\nContent-Length: %d\r\n\r\n%s", size, body[:part])
			return
		}
		var offset int
		_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &offset)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 206 Partial Content\r\nX Odd: 1\r\nEtag: \"a\"\r\nContent-Range: bytes %d-%d/%d\r\nContent-Length: %d\r\n\r\n%s",
			offset, size-1, size, size-offset, body[offset:])
	}
	front, _ := newGateway(t, gateway.Config{MaxAttempts: 5}, newConnServer(t, serve), newConnServer(t, serve))
	if resp, text, err := do(t, front, http.MethodGet, "/video", ""); err == nil {
		t.Errorf("got %v and %d bytes, want a visible cut", resp, len(text))
	}
}

// TestBrokenHeadIsNoLoadReport guards against a load report in a response whose head is broken.
func TestBrokenHeadIsNoLoadReport(t *testing.T) {
	queries := make(chan struct{}, 100)
	address := newConnServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", report.Header, report.Format(1, 2, false))
		queries <- struct{}{}
	})
	var reports atomic.Int64
	_, g := newGateway(t, gateway.Config{Admission: admission.Options{
		OnReport: func(time.Time, string, string, mustardsaddle.Report) { reports.Add(1) },
	}}, address)
	budget := &countedBudget{}
	budget.left.Store(100)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go admission.NewProber(admission.ProberConfig{Controllers: g.Controllers(), Budget: budget, Interval: time.Millisecond}).Run(ctx, done)
	for range 3 {
		<-queries
	}
	cancel()
	<-done
	if n := reports.Load(); n > 0 {
		t.Errorf("got %d load reports, want none", n)
	}
}
