package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// playVariants plays a row directly and through another gateway, on the first and a later request.
func (row endRow) playVariants(t *testing.T) {
	for _, through := range []bool{false, true} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, through another gateway %v, later request %v", row.name, through, later), func(t *testing.T) {
				t.Parallel()
				row.play(t, through, later, false)
			})
		}
	}
}

// TestConnectionServesAfterDeadlineOfUpload guards against the deadline of a call with a streamed body making
// later requests on its connection count as canceled.
func TestConnectionServesAfterDeadlineOfUpload(t *testing.T) {
	endRow{name: "deadline", send: endRequest(postRequest, endID, wholeChunkBody), serve: standsAfter(""), want: "504 4004 Unknown"}.playVariants(t)
}

// TestAnswerThatBreaksEarlyIsAnswered guards against a connection that closes without a byte of a response because its
// body broke off after its first bytes.
func TestAnswerThatBreaksEarlyIsAnswered(t *testing.T) {
	endRow{name: "first bytes", send: endRequest(getRequest, endID, ""), serve: sends(lengthOfPart + "begin"), want: "502 4005 Unknown"}.playVariants(t)
}

// TestAnswerAfterHintsInLongUpload guards against a response without a body that is lost because an informational
// one came before it, and the body of its request took longer than the progress timeout.
func TestAnswerAfterHintsInLongUpload(t *testing.T) {
	const progress, pause = time.Second, 250 * time.Millisecond
	s := newConnServer(t, sendsHintsAndNoBody)
	front, _ := newGateway(t, gateway.Config{ProgressTimeout: progress}, s)
	c := (&endGateway{front: front}).dial(t)
	c.send(t, endRequest(postRequest, endID, "Transfer-Encoding: chunked\r\n"))
	for range 6 {
		time.Sleep(pause)
		c.send(t, "4\r\npart\r\n")
	}
	c.send(t, "0\r\n\r\n")
	if got := c.next(); got != "204" {
		t.Errorf("got %s, want 204", got)
	}
}

// TestAnswerToCallerThatClosesIsUnchanged guards against the response to a request with "Connection: close"
// being taken for an error response of net/http, and replaced by a refusal.
func TestAnswerToCallerThatClosesIsUnchanged(t *testing.T) {
	untyped := answers("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
	endRow{name: "answer", send: endRequest(getRequest, endID, "Connection: close\r\n"), serve: untyped, want: "200", last: true}.playVariants(t)
}

// TestNothingIsReadBehindBrokenBody guards against bytes behind a request body whose framing is broken being
// read as the next request on the connection.
func TestNothingIsReadBehindBrokenBody(t *testing.T) {
	rows := []endRow{
		{name: "kept for the server", send: endRequest(postRequest, endID, brokenChunkBody), want: "502 4005 Unknown", last: true},
		{name: "refused", send: endRequest(postRequest, endID, "Upgrade: other\r\n"+brokenChunkBody), want: "501 4010 NotRun", last: true},
		{name: "answered early", send: endRequest(postRequest, endID, brokenChunkBody), serve: answersEarly, want: "200|502 4005 Unknown", last: true},
	}
	for _, row := range rows {
		for _, through := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, through another gateway %v", row.name, through), func(t *testing.T) {
				t.Parallel()
				row.play(t, through, false, true)
			})
		}
	}
}

// largeAnswer is more than the buffers between a gateway and a caller that does not read hold.
const largeAnswer = 24 << 20

// checkLargeAnswer sends requests to a server that sends a large response before it reads the body, and reads late.
func checkLargeAnswer(t *testing.T, send string) {
	t.Helper()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nContent-Length: %d\r\n\r\n%s", largeAnswer, strings.Repeat("v", largeAnswer))
	s := newEndServer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	g := newEndGateway(t, gateway.Config{}, s, false)
	g.SetRules(compileRules(t, "Path=/* Service=Booking # Ana: all\n"))
	c := g.dial(t)
	_ = c.SetReadBuffer(64 << 10)
	go func() { _, _ = io.WriteString(c, send) }()
	time.Sleep(stallTime)
	if got := c.next(); got != "200" {
		t.Errorf("got %s, want a whole response", got)
	}
	if got := c.next(); got != closedOrderly {
		t.Errorf("after the response: got %s, want %s", got, closedOrderly)
	}
	if n := s.requests(behindID); n > 0 {
		t.Errorf("got the request behind it %d times at the server, want 0", n)
	}
}

// unreadBody is a request whose body does not fit into the buffers of a server that does not read it.
var unreadBody = endRequest(postRequest, behindID, "Content-Length: 262144\r\n\r\n"+strings.Repeat("x", 256<<10))

// TestAnswerIsWholeBeforeUnreadRequest guards against the end of a response being lost because its connection closes
// while a request behind it is unread.
func TestAnswerIsWholeBeforeUnreadRequest(t *testing.T) {
	for name, first := range map[string]string{
		"Connection: close": endRequest(getRequest, endID, "Connection: close\r\n"), "HTTP/1.0": endRequest("GET /ends HTTP/1.0", endID, ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkLargeAnswer(t, first+unreadBody)
		})
	}
}

// TestAnswerIsWholeBeforeRestOfBody guards against the end of an early response being lost because its connection closes
// while the rest of the body is unread or still being sent.
func TestAnswerIsWholeBeforeRestOfBody(t *testing.T) {
	checkLargeAnswer(t, endRequest(postRequest, endID, "Content-Length: 64000000\r\n\r\n"+strings.Repeat("x", 32<<20)))
}

// TestChunksEndAfterSlowClaim guards against a whole response in chunks that lacks its end, because the outcome of its
// claim is recorded slowly and the last write was long ago.
func TestChunksEndAfterSlowClaim(t *testing.T) {
	const progress, pause = time.Second, 500 * time.Millisecond
	s := newEndServer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, oneChunk)
		time.Sleep(pause)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	g := newEndGateway(t, gateway.Config{ProgressTimeout: progress, Claims: slowClaims{acquires: true}}, s, false)
	g.SetRules(compileRules(t, "Path=/* Service=Booking Repeat=Claim # Ana: orders\n"))
	c := g.dial(t)
	c.send(t, endRequest(postRequest, endID, "Idempotency-Key: k\r\nContent-Length: 0\r\n"))
	if got := c.next(); got != "200" {
		t.Errorf("got %s, want a whole response", got)
	}
}

// TestEachResponseStatesItsOutcome guards against responses that net/http sends without the gateway and that lack a
// code and an outcome.
func TestEachResponseStatesItsOutcome(t *testing.T) {
	for name, send := range map[string]string{
		"417 4007 NotRun": endRequest(postRequest, endID, "Expect: other\r\nContent-Length: 1\r\n\r\nx"),
		"404 4001 NotRun": endRequest("OPTIONS * HTTP/1.1", endID, ""),
	} {
		c := newEndGateway(t, gateway.Config{}, newEndServer(t, nil), false).dial(t)
		c.send(t, send)
		if got := c.next(); got != name {
			t.Errorf("got %s, want %s", got, name)
		}
	}
}
