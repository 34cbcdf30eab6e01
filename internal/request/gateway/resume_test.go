package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestResumedDownloadCountsAttempts guards against a download that breaks off again and again being
// requested from more servers than its rule allows. What is delivered then ends with a visible cut.
func TestResumedDownloadCountsAttempts(t *testing.T) {
	const size, part = 8 << 20, 1 << 20
	for attempts := 1; attempts <= 4; attempts++ {
		t.Run(fmt.Sprintf("%d attempts", attempts), func(t *testing.T) {
			var servers []*countingServer
			var addresses []string
			for range 6 {
				s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Etag", `"v1"`)
					http.ServeContent(w, r, "video.mp4", time.Time{}, &patternBody{size: size})
				})
				servers = append(servers, s)
				addresses = append(addresses, newFaultProxy(t, s.address(), func(int) fault { return fault{downBytes: part} }).Addr().String())
			}
			front, _ := newGateway(t, gateway.Config{MaxAttempts: attempts}, addresses...)
			_, n, _, err := download(front)
			if sent := executions("", servers...); sent > attempts {
				t.Errorf("got %d requests at servers, want at most %d", sent, attempts)
			}
			if err == nil || n >= size {
				t.Errorf("got %d bytes and error %v, want a visible cut", n, err)
			}
		})
	}
}

// TestResumedDownloadHasTheTimeLeft guards against a resumed download that is sent without the time
// that is left for it, or after its end.
func TestResumedDownloadHasTheTimeLeft(t *testing.T) {
	const (
		size    = 400 << 10
		timeout = 600 * time.Millisecond
		slack   = 50 * time.Millisecond
	)
	var mu sync.Mutex
	var began time.Time
	requests := 0
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		mu.Lock()
		if began.IsZero() {
			began = now
		}
		requests++
		left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if ends := now.Sub(began) + time.Duration(left)*time.Millisecond; err != nil || left <= 0 || ends > timeout+slack {
			t.Errorf("request %d: got Deadline-Ms %q, want what is left of %s", requests, r.Header.Get("Deadline-Ms"), timeout)
		}
		mu.Unlock()
		w.Header().Set("Etag", `"v1"`)
		time.Sleep(250 * time.Millisecond)
		http.ServeContent(w, r, "video.mp4", time.Time{}, &patternBody{size: size})
	})
	breaks := func(int) fault { return fault{downBytes: 100 << 10} }
	a, b := newFaultProxy(t, s.address(), breaks), newFaultProxy(t, s.address(), breaks)
	front, _ := newGateway(t, gateway.Config{
		MaxAttempts: 9, Headers: &mustardsaddle.Headers{Deadline: "Deadline-Ms", Load: report.Header, ParseLoad: report.Parse},
	}, a.Addr().String(), b.Addr().String())
	r, err := http.NewRequest(http.MethodGet, front.URL+"/video", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := front.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || n >= size {
		t.Errorf("got %d bytes and error %v, want a visible cut", n, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if requests < 2 {
		t.Errorf("got %d requests at servers, want one that resumes the download", requests)
	}
}
