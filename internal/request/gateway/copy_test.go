package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// copyDelay is the time between the copy of a response and the response to a load query.
const copyDelay = 30 * time.Millisecond

// copyingServer answers requests on each connection in order, and sends some responses a
// second time, late.
type copyingServer struct {
	net.Listener
	// copyLoad selects what is sent again: the response to a load query before the next
	// other response, or else the last other response before the one to a load query.
	copyLoad bool
}

func newCopyingServer(t *testing.T, copyLoad bool) *copyingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &copyingServer{Listener: ln, copyLoad: copyLoad}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *copyingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	load := report.Header + ": " + report.Format(0, 2, false)
	loadResponse := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nEndpoint-Name: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", s.Addr(), load)
	lastLoad, last := "", ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/load" {
			if last != "" && !s.copyLoad {
				_, _ = fmt.Fprint(c, last)
				time.Sleep(copyDelay)
			}
			lastLoad = loadResponse
			_, err = fmt.Fprint(c, lastLoad)
		} else {
			if s.copyLoad {
				_, _ = fmt.Fprint(c, lastLoad)
			}
			id := r.Header.Get("Request-ID")
			last = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-ID: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", id, load, len(id), id)
			_, err = fmt.Fprint(c, last)
		}
		if err != nil {
			return
		}
	}
}

// TestCopyOfResponseReadByLoadQuery guards against a caller getting the response to a load
// query: a late copy of an earlier response was taken for the response to the query, so
// that the next request on the connection got that one.
func TestCopyOfResponseReadByLoadQuery(t *testing.T) {
	checkCopies(t, newCopyingServer(t, false))
}

// TestCopyOfLoadResponse guards against a caller getting a late copy of the response to a
// load query that was sent before its request on the same connection.
func TestCopyOfLoadResponse(t *testing.T) {
	checkCopies(t, newCopyingServer(t, true))
}

// checkCopies checks that each caller gets its own response or a refusal.
func checkCopies(t *testing.T, server *copyingServer) {
	const (
		calls = 20
		// pause lets the last load report become old, so that a call sends a load query.
		pause         = 50 * time.Millisecond
		ratePerSecond = 1000
		bytes         = 1 << 20
	)
	front, _ := newGateway(t, gateway.Config{
		Headers: &mustardsaddle.Headers{RequestID: "Request-ID", Server: "Endpoint-Name", Load: report.Header, ParseLoad: report.Parse},
		Admission: admission.Options{
			NewChooser:           func(string) mustardsaddle.Chooser { return survey.New(survey.Config{}) },
			LoadQueriesPerServer: ratePerSecond,
			Budget:               report.NewBudget(report.BudgetConfig{MessagesPerSecond: ratePerSecond, BytesPerSecond: bytes}),
		},
	}, server.Addr().String())
	for i := range calls {
		id := fmt.Sprintf("call-%d", i)
		resp, text, err := do(t, front, http.MethodGet, "/rosters", "", "Request-ID", id)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
		own := resp.StatusCode == http.StatusOK && text == id
		refused := strings.HasPrefix(text, "Code=")
		if !own && !refused {
			t.Errorf("%s: got status %d, body %q, want its own response or a refusal", id, resp.StatusCode, text)
		}
	}
}
