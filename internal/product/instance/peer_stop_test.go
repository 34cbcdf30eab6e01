package instance_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStopAwaitsRequestOfPeer guards against a stop that closes a kept connection of another
// gateway on which a request has begun to arrive.
func TestStopAwaitsRequestOfPeer(t *testing.T) {
	const (
		request = "GET /none HTTP/1.1\r\nHost: peer\r\n\r\n"
		begun   = 16
		// stopping is longer than the lag of the stop, and shorter than the wait for requests.
		stopping = 500 * time.Millisecond
	)
	s := newCluster(t, 1)
	g := s.startReady("gateway-1")[0]
	conn, err := net.Dial("tcp", g.addresses.Peer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	send := func(text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(name string) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: got error %v, want a response", name, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusNotFound {
			t.Fatalf("%s: got status %d, error %v, want %d", name, resp.StatusCode, err, http.StatusNotFound)
		}
	}
	send(request)
	expect("first request")
	send(request[:begun])
	time.Sleep(stopping / 10)
	g.stop()
	time.Sleep(stopping)
	send(request[begun:])
	expect("request that arrives during the stop")
	if err := g.wait(); err != nil {
		t.Errorf("stop: got error %v", err)
	}
}
