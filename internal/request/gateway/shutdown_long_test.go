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

// TestRequestArrivesAtEndOfLongShutdown guards against a graceful shutdown that has waited long for
// another call, and then cuts off a request that is arriving when this call ends.
func TestRequestArrivesAtEndOfLongShutdown(t *testing.T) {
	const (
		request = "GET /rosters HTTP/1.1\r\nHost: gateway\r\n\r\n"
		begun   = 20
		// lasting exceeds the time for which a shutdown without calls waits.
		lasting = 1500 * time.Millisecond
	)
	release, entered := make(chan struct{}), make(chan struct{}, 1)
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rosters/slow" {
			entered <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "complete")
	})
	front, g := newGateway(t, gateway.Config{}, s.address())
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	send := func(conn net.Conn, text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(in *bufio.Reader, name string) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: got error %v, want a response", name, err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || string(text) != "complete" {
			t.Fatalf("%s: got %q, %v, want a complete response", name, text, err)
		}
	}
	kept, keptIn := dial()
	send(kept, request)
	expect(keptIn, "first request")
	slow, slowIn := dial()
	send(slow, "GET /rosters/slow HTTP/1.1\r\nHost: gateway\r\n\r\n")
	<-entered
	send(kept, request[:begun])
	time.Sleep(100 * time.Millisecond)
	g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
	stopped := make(chan error, 1)
	go func() { stopped <- g.Shutdown(context.Background(), front.Config) }()
	time.Sleep(lasting)
	close(release)
	expect(slowIn, "long call")
	time.Sleep(100 * time.Millisecond)
	send(kept, request[begun:])
	expect(keptIn, "request that arrives as the long call ends")
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v", err)
	}
}
