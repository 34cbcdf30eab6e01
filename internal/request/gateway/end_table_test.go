package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

const (
	getRequest      = "GET /ends HTTP/1.1"
	postRequest     = "POST /ends HTTP/1.1"
	typedResponse   = "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nContent-Length: 6\r\n\r\nserved"
	lengthOfPart    = "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nContent-Length: 100000\r\n\r\n"
	oneChunk        = "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"
	wholeChunkBody  = "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n0\r\n\r\n"
	brokenChunkBody = "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\nnone\r\n"
)

// endRow is an end of a call on a connection of HTTP/1.
type endRow struct {
	name string
	// send is the request under test, and halfClose states that its caller sends nothing after it.
	send      string
	halfClose bool
	serve     func(c net.Conn, r *http.Request) bool
	cfg       gateway.Config
	// want is what the caller gets; alternatives are separated by "|".
	want string
	// last is true if the connection takes no further request, and ends in order.
	last bool
	// unread is true if net/http refuses the request, so that no server and no log line of a call
	// has it.
	unread bool
}

// endRows holds the ends of calls on connections of HTTP/1. What each promises is in docs/SPEC.md.
var endRows = []endRow{
	{name: "answer", send: endRequest(getRequest, endID, ""), want: "200"},
	{name: "answer to a body", send: endRequest(postRequest, endID, wholeChunkBody), want: "200"},
	{name: "answer, caller closes", send: endRequest(getRequest, endID, "Connection: close\r\n"), want: "200", last: true},
	{name: "answer to HTTP/1.0", send: endRequest("GET /ends HTTP/1.0", endID, ""), want: "200", last: true},
	{name: "answer to HTTP/1.0, kept", send: endRequest("GET /ends HTTP/1.0", endID, "Connection: keep-alive\r\n"), want: "200"},
	{name: "answer without a body", send: endRequest(getRequest, endID, ""), serve: answers("HTTP/1.1 204 No Content\r\n\r\n"), want: "204"},
	{
		name: "answer to a caller that has closed its sending side", send: endRequest(getRequest, endID, ""), halfClose: true,
		serve: standsAfter(""), want: "502 4009 Unknown|503 4009 NotRun", last: true,
	},
	{name: "early answer", send: endRequest(postRequest, endID, wholeChunkBody), serve: answersEarly, want: "200"},
	{name: "refused before its body", send: endRequest("POST / HTTP/1.1", endID, "Upgrade: other\r\n"+wholeChunkBody), want: "501 4010 NotRun"},
	{name: "conflicting lengths", send: endRequest(postRequest, endID, "Content-Length: 0\r\nContent-Length: 1\r\n\r\n"), want: "400 4007 NotRun", last: true, unread: true},
	{name: "bad field", send: endRequest(getRequest, endID, "X Odd: 1\r\n"), want: "400 4007 NotRun", last: true, unread: true},
	{name: "unknown version", send: endRequest("GET /ends HTTP/3.0", endID, ""), want: "505 4007 NotRun", last: true, unread: true},
	{name: "unknown coding", send: endRequest(postRequest, endID, "Transfer-Encoding: gzip\r\n"), want: "501 4007 NotRun", last: true, unread: true},
	{name: "server breaks", send: endRequest(getRequest, endID, ""), serve: sends(""), want: "502 4005 Unknown"},
	{name: "server breaks after a body", send: endRequest(postRequest, endID, wholeChunkBody), serve: sends(""), want: "502 4005 Unknown"},
	{name: "header breaks", send: endRequest(getRequest, endID, ""), serve: sends("HTTP/1.1 200 OK\r\nA:"), want: "502 4005 Unknown"},
	{name: "short answer breaks", send: endRequest(getRequest, endID, ""), serve: sends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegin"), want: "502 4005 Unknown"},
	{name: "long answer breaks", send: endRequest(getRequest, endID, ""), serve: sends(lengthOfPart + part), want: "cut 200", last: true},
	{name: "long answer to a body breaks", send: endRequest(postRequest, endID, wholeChunkBody), serve: sends(lengthOfPart + part), want: "cut 200", last: true},
	{name: "answer in chunks breaks", send: endRequest(getRequest, endID, ""), serve: sends(oneChunk), want: "cut 200", last: true},
	{name: "answer in chunks stands", send: endRequest(getRequest, endID, ""), serve: standsAfter(oneChunk), want: "cut 200", last: true},
	{name: "answer in chunks to HTTP/1.0 breaks", send: endRequest("GET /ends HTTP/1.0", endID, "Connection: keep-alive\r\n"), serve: sends(oneChunk), want: "502 4005 Unknown"},
	{name: "deadline", send: endRequest(getRequest, endID, ""), serve: standsAfter(""), want: "504 4004 Unknown"},
	{name: "deadline after a kept body", send: endRequest(postRequest, endID, "Content-Length: 5\r\n\r\nbegin"), serve: standsAfter(""), want: "504 4004 Unknown"},
	{name: "deadline after hints", send: endRequest(getRequest, endID, ""), serve: standsAfter("HTTP/1.1 103 Early Hints\r\n\r\n"), want: "504 4004 Unknown"},
	{name: "deadline before the end of a body", send: endRequest(postRequest, endID, "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"), serve: standsAfter(""), want: "504 4004 Unknown", last: true},
	{name: "deadline before the end of a kept body", send: endRequest(postRequest, endID, "Content-Length: 100\r\n\r\nbegin"), want: "503 4004 NotRun", last: true},
}

// answersEarly answers a request before it reads the body.
func answersEarly(c net.Conn, r *http.Request) bool {
	_, _ = io.WriteString(c, typedResponse)
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// partOfBody reports whether the request under test ends within its body, so that nothing behind it is
// a request.
func (row endRow) partOfBody() bool {
	return strings.HasSuffix(row.send, "begin") || strings.HasSuffix(row.send, "begin\r\n") || row.halfClose
}

// TestEachEndIsAnsweredOrVisible guards against a connection that ends although a request on it was read and
// has no answer, and against a request behind it that was not read reaching a server.
func TestEachEndIsAnsweredOrVisible(t *testing.T) {
	for _, row := range endRows {
		for _, through := range []bool{false, true} {
			for _, later := range []bool{false, true} {
				for _, behind := range []bool{false, true} {
					if behind && row.partOfBody() || through && row.unread {
						continue
					}
					t.Run(fmt.Sprintf("%s, through another gateway %v, later request %v, one behind %v", row.name, through, later, behind), func(t *testing.T) {
						t.Parallel()
						row.play(t, through, later, behind)
					})
				}
			}
		}
	}
}

// play sends the request under test, after another one and before another one if so stated.
func (row endRow) play(t *testing.T, through, later, behind bool) {
	g := newEndGateway(t, row.cfg, newEndServer(t, row.serve), through)
	c := g.dial(t)
	if later {
		c.send(t, endRequest(getRequest, beforeID, ""))
		if got := c.next(); got != "200" {
			t.Fatalf("request before: got %s, want 200", got)
		}
	}
	next := endRequest(getRequest, behindID, "")
	if behind {
		c.send(t, row.send, next)
	} else {
		c.send(t, row.send)
	}
	if row.halfClose {
		_ = c.CloseWrite()
	}
	if got := c.next(); !slices.Contains(strings.Split(row.want, "|"), got) {
		t.Fatalf("got %s, want %s", got, row.want)
	}
	if !behind && !row.last {
		c.send(t, next)
	}
	row.checkNext(t, c.next(), through)
	row.checkTraces(t, g)
}

// checkNext checks what the caller got to the next request. The failure of the one before may have shown
// another gateway that the server is out of order; it then refuses the next one.
func (row endRow) checkNext(t *testing.T, got string, through bool) {
	t.Helper()
	want := []string{"200"}
	switch {
	case row.last:
		want = []string{closedOrderly}
	case through:
		want = append(want, "503 4002 NotRun", "503 4015 NotRun")
	}
	if !slices.Contains(want, got) {
		t.Errorf("next request: got %s, want one of %q", got, want)
	}
}

// checkTraces checks what the server got and what was logged.
func (row endRow) checkTraces(t *testing.T, g *endGateway) {
	t.Helper()
	if n := g.server.requests(behindID); row.last && n > 0 {
		t.Errorf("got the next request %d times at the server, want 0", n)
	}
	lines := 1
	if row.unread {
		lines = 0
		if n := g.server.requests(endID); n > 0 {
			t.Errorf("got a request that was not read %d times at the server, want 0", n)
		}
	}
	got := g.log.waitResults(endID, lines)
	if g.through && len(got) > 1 {
		return // both gateways log the call
	}
	if len(got) != lines {
		t.Errorf("got log lines %v about the end of the call, want %d", got, lines)
	}
}
