package main_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// brokenHead is a response whose head is not that of one.
type brokenHead struct {
	name, response string
}

func brokenHeads() []brokenHead {
	const end = "\r\nContent-Length: 4\r\n\r\nwood"
	return []brokenHead{
		{"status 000", "HTTP/1.1 000 None" + end},
		{"status 099", "HTTP/1.1 099 Low" + end},
		{"status +20", "HTTP/1.1 +20 Signed" + end},
		{"status -00", "HTTP/1.1 -00 Signed" + end},
		{"status 600", "HTTP/1.1 600 High" + end},
		{"status 999", "HTTP/1.1 999 High" + end},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade" + end},
		{"status of 4 digits", "HTTP/1.1 2000 Long" + end},
		{"version 2.0", "HTTP/2.0 200 OK" + end},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1" + end},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Odd : 1" + end},
		{"blank behind a name of early hints", "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\nHTTP/1.1 200 OK" + end},
		{"blank behind Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nwood"},
		{"blank behind Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n"},
		{"chunks on HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n"},
		{"tab behind a name", "HTTP/1.1 200 OK\r\nX-Odd\t: 1" + end},
		{"tab in a name", "HTTP/1.1 200 OK\r\nX\tOdd: 1" + end},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1" + end},
		{"zero byte in a name", "HTTP/1.1 200 OK\r\nX\x00Odd: 1" + end},
		{"DEL in a name", "HTTP/1.1 200 OK\r\nX\x7fOdd: 1" + end},
		{"return in a name", "HTTP/1.1 200 OK\r\nX\rOdd: 1" + end},
		{"no name", "HTTP/1.1 200 OK\r\n: 1" + end},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Odd: 1" + end},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: \x01" + end},
	}
}

// TestBrokenHeadIsNoResponse guards against a response whose head is none being passed on: callers
// got it as an answer, or no answer at all.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	s := newCutSystem(t)
	direct := strings.TrimPrefix(s.startNext().url, "http://")
	forwarder := s.startForwarder()
	for _, h := range brokenHeads() {
		for _, protocol := range []string{http10, http11, http2} {
			for way, address := range map[string]string{"direct": direct, "through another gateway": forwarder} {
				t.Run(h.name+" over "+protocol+" "+way, func(t *testing.T) {
					s.waitFor("calls to be served", func() bool { return get("http://" + address + "/rosters").ok() })
					s.checkRefused(t, address, protocol, h.response)
				})
			}
		}
	}
}

// checkRefused requests a response until the server has sent it. The caller has to get 502, since
// the server may have executed the request.
func (s *cutSystem) checkRefused(t *testing.T, address, protocol, response string) {
	t.Helper()
	id := fmt.Sprintf("%s-%d", url.PathEscape(t.Name()), time.Now().UnixNano())
	query := url.Values{"Response": {response}, "ID": {id}}.Encode()
	var got received
	for range maxTries {
		if got = fetch(address, protocol, query); s.server.received(id) > 0 {
			break
		}
		time.Sleep(flushTime)
	}
	if s.server.received(id) == 0 || got.status != http.StatusBadGateway || got.err != nil {
		t.Errorf("got %+v and %d requests at the server, want status 502 and at least one", got, s.server.received(id))
	}
}
