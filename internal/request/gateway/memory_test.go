package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// callHTTP10 sends a request of HTTP/1.0, and returns the status and the size of the body.
func callHTTP10(address, path string) (status int, bytes int64, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: sheds.example\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	bytes, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, bytes, err
}

// TestSlowWholeResponseEndsByDeadline guards against a caller on HTTP/1.0 that gets no answer by the
// deadline, and a gateway that keeps what it has received, because the server sends a response
// without length slowly and without end.
func TestSlowWholeResponseEndsByDeadline(t *testing.T) {
	const deadline, slack = time.Second, 500 * time.Millisecond
	for name, begin := range map[string]string{"small": "x", "larger than one buffer": strings.Repeat("x", 100<<10)} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n"+begin, "x")
			s.pause = 20 * time.Millisecond
			go s.serve()
			buffers := buffer.New(8 << 20)
			front, g := newGateway(t, gateway.Config{Deadline: deadline, Buffers: buffers}, s.Addr().String())
			start := time.Now()
			status, _, err := callHTTP10(front.Listener.Addr().String(), "/x")
			if took := time.Since(start); err != nil || status != http.StatusGatewayTimeout || took > deadline+slack {
				t.Errorf("got status %d, error %v after %s, want 504 within %s", status, err, took, deadline+slack)
			}
			s.waitClosed(t)
			waitCalls(g)
			if used := buffers.Stats().Used; used != 0 {
				t.Errorf("got %d bytes that are still taken, want none", used)
			}
		})
	}
}

// waitCalls waits until all calls have ended. A call ends after its caller has the response.
func waitCalls(g *gateway.Gateway) {
	for g.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestWholeResponsesWaitForMemory guards against complete responses to callers on HTTP/1.0 being
// refused, or using up the memory, because many of them arrive at once.
func TestWholeResponsesWaitForMemory(t *testing.T) {
	const calls, size = 12, 500 << 10
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 5 {
			_, _ = io.WriteString(w, strings.Repeat("x", size/5))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	buffers := buffer.New(8 << 20)
	front, g := newGateway(t, gateway.Config{Buffers: buffers}, s.address())
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			if status, n, err := callHTTP10(front.Listener.Addr().String(), "/x"); err != nil || status != http.StatusOK || n != size {
				t.Errorf("got status %d, %d bytes and error %v, want 200 and %d bytes", status, n, err, size)
			}
		})
	}
	wg.Wait()
	waitCalls(g)
	if stats := buffers.Stats(); stats.Used != 0 || stats.Refused != 0 {
		t.Errorf("got %+v, want nothing in use and nothing refused", stats)
	}
}

// TestLargestWholeResponse checks that a response of the largest size is kept, and no larger one.
func TestLargestWholeResponse(t *testing.T) {
	const largest = 1 << 20
	for size, want := range map[int]int{0: http.StatusOK, 32 << 10: http.StatusOK, largest: http.StatusOK, largest + 1: http.StatusBadGateway} {
		s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		front, _ := newGateway(t, gateway.Config{}, s.address())
		status, n, err := callHTTP10(front.Listener.Addr().String(), "/x")
		if err != nil || status != want || want == http.StatusOK && n != int64(size) {
			t.Errorf("response of %d bytes: got status %d, %d bytes and error %v, want %d", size, status, n, err, want)
		}
	}
}

// TestRequestsAreStreamedWithoutMemory checks that a request whose body cannot be kept is served all
// the same, and that memory of bodies is returned.
func TestRequestsAreStreamedWithoutMemory(t *testing.T) {
	s := newCountingServer(t, nil)
	buffers := buffer.New(8 << 20)
	front, g := newGateway(t, gateway.Config{Buffers: buffers}, s.address())
	body := strings.Repeat("x", 50_000)
	check := func() {
		t.Helper()
		if resp, got, err := do(t, front, http.MethodPost, "/safe", body); err != nil || resp.StatusCode != http.StatusOK || got != body {
			t.Errorf("got %v, %d bytes and error %v, want 200 and the body", resp, len(got), err)
		}
		waitCalls(g)
	}
	check()
	if used := buffers.Stats().Used; used != 0 || !buffers.Requests.TryTake(2<<20) {
		t.Fatalf("got %d bytes in use after a call, want none", used)
	}
	check()
	if refused := buffers.Stats().Refused; refused != 1 {
		t.Errorf("got %d refusals, want 1", refused)
	}
}
