package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// earlyUploadBytes is the size of an upload that is still in progress when its answer ends.
	earlyUploadBytes = 16 << 20
	// earlyPlays is how often an early answer is requested whose end only the connection marks, and
	// framedPlays any other.
	earlyPlays, framedPlays = 20, 2
	// earlyPause is the time for which an early answer waits for the gateway to read it.
	earlyPause = 10 * time.Millisecond
)

// endSent is the value of the query parameter End for a server that closes its sending side alone.
const endSent = "Sent"

// newEarlyServer returns the address of a server that answers uploads before it has read them.
func newEarlyServer(t *testing.T) string {
	ln, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go acceptAll(ln, answerEarly)
	return ln.Addr().String()
}

// answerEarly serves the requests on a connection until one is answered early. Requests without a
// framing in their query get a short response.
func answerEarly(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		query := r.URL.Query()
		if !query.Has("Framing") {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		_, _ = c.Write(responseUntil(query.Get("Framing"), query.Get("Part"), bodyOf(query.Get("ID"))))
		time.Sleep(earlyPause)
		if query.Get("End") == endReset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, in)
		return
	}
}

// uploadEarly sends a large request over a connection of its own and reads the response to its end.
func uploadEarly(address, protocol, query string) received {
	if protocol == http2 {
		return uploadStream(address, query)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	var sent sync.WaitGroup
	defer sent.Wait()
	sent.Go(func() {
		_, _ = fmt.Fprintf(c, "POST /plans?%s HTTP/%s\r\nHost: gateway\r\nContent-Length: %d\r\n\r\n", query, protocol, earlyUploadBytes)
		_, _ = c.Write(make([]byte, earlyUploadBytes))
	})
	defer func() { _ = c.SetDeadline(time.Now()) }()
	return readReceived(http.ReadResponse(bufio.NewReader(c), nil))
}

// uploadStream sends a large request as a stream of HTTP/2.
func uploadStream(address, query string) received {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: waitTimeout}
	return readReceived(client.Post("http://"+address+"/plans?"+query, "text/plain", bytes.NewReader(make([]byte, earlyUploadBytes))))
}

// readReceived reads a response to its end.
func readReceived(resp *http.Response, err error) received {
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, bytes: len(body), err: err}
}

// TestEarlyAnswerThatIsResetNeverLooksComplete guards against an answer to an upload in progress
// looking complete although its server has reset the connection: a failed write of the upload
// used up the error, and the answer ended like one in order.
func TestEarlyAnswerThatIsResetNeverLooksComplete(t *testing.T) {
	s := newSystem(t, 0, 0)
	s.listMachine(mustardsaddle.Machine{
		Name: "booking-00", Incarnation: 1, Zone: "zone-a", Service: "Booking", Slots: 64, Connections: 1000,
		Address: newEarlyServer(t),
	})
	s.submitRules("# Generation 0\nPath=/* Service=Booking Deadline=10s # Ana: plans and videos\n")
	direct := strings.TrimPrefix(s.startNext().url, "http://")
	forwarder := s.startForwarder()
	for framing, plays := range map[string]int{framingClose: earlyPlays, framingLength: framedPlays, framingChunks: framedPlays} {
		for _, protocol := range []string{http10, http11, http2} {
			for name, address := range map[string]string{"direct": direct, "through another gateway": forwarder} {
				t.Run(framing+" "+protocol+" "+name, func(t *testing.T) {
					s.waitFor("calls to be served", func() bool { return get("http://" + address + "/rosters").ok() })
					part := url.Values{"Framing": {framing}, "Part": {partBody}, "End": {endReset}, "ID": {fmt.Sprint(smallBody)}}
					checkNoneComplete(t, address, protocol, part.Encode(), plays)
					whole := url.Values{"Framing": {framing}, "Part": {partNone}, "End": {endSent}, "ID": {fmt.Sprint(smallBody)}}
					if got := uploadEarly(address, protocol, whole.Encode()); !got.complete() || got.bytes != smallBody {
						t.Errorf("answer that ends in order: got %+v, want a complete one of %d bytes", got, smallBody)
					}
				})
			}
		}
	}
}

// checkNoneComplete sends uploads whose answers are cut, one after another.
func checkNoneComplete(t *testing.T, address, protocol, query string, plays int) {
	t.Helper()
	complete := 0
	for range plays {
		if uploadEarly(address, protocol, query).complete() {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("answer that is reset: got %d of %d complete, want none", complete, plays)
	}
}
