package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestRequestArrivesDuringShutdown guards against a graceful shutdown closing a kept
// connection on which a request has begun to arrive: the request was cut off without a
// response, although its first bytes had been read.
func TestRequestArrivesDuringShutdown(t *testing.T) {
	const (
		first  = "GET /rosters HTTP/1.1\r\nHost: gateway\r\n\r\n"
		begin  = "GET /rosters HTTP/1.1\r\nHo"
		rest   = "st: gateway\r\n\r\n"
		settle = 100 * time.Millisecond
	)
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") })
	front, g := newGateway(t, gateway.Config{}, s.address())
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	call := func(parts ...string) (*http.Response, string, error) {
		for i, part := range parts {
			if i > 0 {
				time.Sleep(settle)
			}
			if _, err := conn.Write([]byte(part)); err != nil {
				return nil, "", err
			}
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, "", err
		}
		text, err := io.ReadAll(resp.Body)
		return resp, string(text), err
	}
	if _, text, err := call(first); err != nil || text != "complete" {
		t.Fatalf("first request: got %q, %v, want a response", text, err)
	}
	g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(settle / 2)
		stopped <- g.Shutdown(context.Background(), front.Config)
	}()
	resp, text, err := call(begin, rest)
	if err != nil || text != "complete" {
		t.Fatalf("request during the shutdown: got %q, %v, want a response", text, err)
	}
	if !resp.Close {
		t.Error("request during the shutdown: got a response without Connection: close")
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v", err)
	}
}
