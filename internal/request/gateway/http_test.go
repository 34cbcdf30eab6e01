package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

func TestHeaders(t *testing.T) {
	convey.Convey("Given a server that records request headers and sends forbidden response headers", t, func() {
		var got http.Header
		var host string
		s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
			got, host = r.Header.Clone(), r.Host
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("Mustardsaddle-Outcome", "NotRun")
			w.Header().Set("Mustardsaddle-Code", "4001")
			w.Header().Set("Mustardsaddle-Other", "1")
			_, _ = fmt.Fprint(w, "response")
		})
		front, _ := newGateway(t, gateway.Config{Deadline: 5 * time.Second}, s.address())
		resp, _, err := do(t, front, "GET", "/x", "", "Mustardsaddle-Outcome", "NotRun", "Mustardsaddle-Attempt", "forged",
			"Mustardsaddle-Deadline", "99999999", "Connection", "X-Private, keep-alive", "X-Private", "1", "Te", "trailers, gzip",
			"Proxy-Authorization", "secret", "X-Forwarded-For", "192.0.2.7", "Via", "1.0 outer")
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("The server gets the gateway's headers, and no forged or hop-by-hop headers", func() {
			left, err := strconv.Atoi(got.Get(header.Deadline))
			convey.So(err, convey.ShouldBeNil)
			convey.So(left, convey.ShouldBeBetween, 1, 5001)
			convey.So(got.Get(header.Attempt), convey.ShouldStartWith, "gateway-1-")
			convey.So(got.Get(header.Outcome), convey.ShouldEqual, "")
			convey.So(got.Get("X-Private"), convey.ShouldEqual, "")
			convey.So(got.Get("Proxy-Authorization"), convey.ShouldEqual, "")
			convey.So(got.Get("Te"), convey.ShouldEqual, "trailers")
			convey.So(got.Get("X-Forwarded-For"), convey.ShouldEqual, "192.0.2.7, 127.0.0.1")
			convey.So(got.Get("Via"), convey.ShouldEqual, "1.0 outer, 1.1 gateway-1")
			convey.So(host, convey.ShouldEqual, strings.TrimPrefix(front.URL, "http://"))
		})
		convey.Convey("The caller gets the gateway's outcome, and no forged or hop-by-hop headers", func() {
			convey.So(resp.Header.Get(header.Outcome), convey.ShouldEqual, "Ran")
			convey.So(resp.Header.Get(header.Code), convey.ShouldEqual, "")
			convey.So(resp.Header.Get("Mustardsaddle-Other"), convey.ShouldEqual, "")
			convey.So(resp.Header.Get("X-Hop"), convey.ShouldEqual, "")
		})
	})
}

func TestRefusals(t *testing.T) {
	s := newCountingServer(t, nil)
	all := compileRules(t, "Path=/* Service=Booking # Mei Lin: all")
	for _, tc := range []struct {
		name, body, upgrade string
		rules               *rule.Table
		status              int
		text                string
	}{
		{"upgrade", "", "websocket", all, 501, "Code=4010 Outcome=NotRun\n"},
		{"body above the limit", strings.Repeat("x", 2000), "", all, 413, "Code=4008 Outcome=NotRun\n"},
		{"no rule matches", "", "", rule.Compile(rule.File{}), 404, "Code=4001 Outcome=NotRun\n"},
		{"no rules loaded", "", "", nil, 503, "Code=4006 Outcome=NotRun\n"},
		{"unknown service", "", "", compileRules(t, "Path=/x Service=None # Mei Lin: none"), 503, "Code=4002 Outcome=NotRun\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			front, g := newGateway(t, gateway.Config{MaxBodyBytes: 1000}, s.address())
			g.SetRules(tc.rules)
			resp, text, err := do(t, front, "POST", "/x", tc.body, "Connection", "Upgrade", "Upgrade", tc.upgrade)
			if err != nil || resp.StatusCode != tc.status || text != tc.text {
				t.Errorf("got %v %q %v, want %d %q", resp, text, err, tc.status, tc.text)
			}
		})
	}
}

// TestFraming sends raw requests that net/http itself rejects: the error response
// must have a code. Its last request is valid.
func TestFraming(t *testing.T) {
	s := newCountingServer(t, nil)
	front, _ := newGateway(t, gateway.Config{}, s.address())
	for _, tc := range []struct {
		name, head, status, code string
	}{
		{"conflicting Content-Length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", "4007"},
		{"unknown transfer encoding", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501", "4007"},
		{"header above the limit", "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", "431", "4008"},
		{"Content-Length and Transfer-Encoding", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(front.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, tc.head)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || !strings.HasPrefix(resp.Status, tc.status) || resp.Header.Get(header.Code) != tc.code {
				t.Errorf("got %v, %v, want status %s and code %q", resp, err, tc.status, tc.code)
			}
		})
	}
}

func TestMessages(t *testing.T) {
	convey.Convey("Given a server with many kinds of responses", t, func() {
		canceled := make(chan struct{})
		s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/head":
				w.Header().Set("Content-Length", "1234")
			case "/early":
				w.Header().Set("Link", "</style.css>")
				w.WriteHeader(http.StatusEarlyHints)
			case "/none":
				w.WriteHeader(http.StatusNoContent)
			case "/unchanged":
				w.WriteHeader(http.StatusNotModified)
			case "/forbidden":
				w.WriteHeader(http.StatusForbidden)
			case "/trailers":
				w.Header().Set("Trailer", "X-Sum")
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
				w.Header().Set("X-Sum", r.Trailer.Get("X-In"))
			case "/forever":
				<-r.Context().Done()
				close(canceled)
			case "/part":
				http.ServeContent(w, r, "plan", time.Time{}, strings.NewReader("0123456789"))
			case "/until-close":
				c, _, _ := http.NewResponseController(w).Hijack()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil close")
				_ = c.Close()
			}
		})
		front, _ := newGateway(t, gateway.Config{Deadline: time.Minute}, s.address())
		convey.Convey("HEAD keeps Content-Length, 204 and 304 have no body, and range requests work", func() {
			resp, text, err := do(t, front, "HEAD", "/head", "")
			convey.So([]any{resp.ContentLength, text, err}, convey.ShouldResemble, []any{int64(1234), "", nil})
			resp, text, err = do(t, front, "GET", "/none", "")
			convey.So([]any{resp.StatusCode, text, err}, convey.ShouldResemble, []any{204, "", nil})
			resp, text, err = do(t, front, "GET", "/unchanged", "")
			convey.So([]any{resp.StatusCode, text, err}, convey.ShouldResemble, []any{304, "", nil})
			resp, text, err = do(t, front, "GET", "/part", "", "Range", "bytes=2-4")
			convey.So([]any{resp.StatusCode, text, err}, convey.ShouldResemble, []any{206, "234", nil})
			_, text, err = do(t, front, "GET", "/until-close", "")
			convey.So([]any{text, err}, convey.ShouldResemble, []any{"until close", nil})
		})
		convey.Convey("Informational responses are relayed", func() {
			link := ""
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { link = h.Get("Link"); return nil },
			})
			r, _ := http.NewRequestWithContext(ctx, "GET", front.URL+"/early", nil)
			resp, err := front.Client().Transport.RoundTrip(r)
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(link, convey.ShouldEqual, "</style.css>")
		})
		convey.Convey("A body that the server rejects after Expect: 100-continue is not sent", func() {
			read := &patternBody{size: 10 << 20}
			r, _ := http.NewRequest("POST", front.URL+"/forbidden", read)
			r.Header.Set("Expect", "100-continue")
			client := &http.Transport{ExpectContinueTimeout: time.Minute}
			defer client.CloseIdleConnections()
			resp, err := client.RoundTrip(r)
			convey.So(err, convey.ShouldBeNil)
			_ = resp.Body.Close()
			convey.So(resp.StatusCode, convey.ShouldEqual, 403)
			convey.So(read.pos, convey.ShouldEqual, 0)
		})
		convey.Convey("Trailers are relayed in both directions, over HTTP/1.1 and HTTP/2", func() {
			client := &http.Transport{Protocols: new(http.Protocols)}
			client.Protocols.SetUnencryptedHTTP2(true)
			defer client.CloseIdleConnections()
			for _, transport := range []http.RoundTripper{front.Client().Transport, client} {
				r, _ := http.NewRequest("POST", front.URL+"/trailers", io.NopCloser(strings.NewReader("plan")))
				r.Trailer = http.Header{"X-In": {"42"}}
				resp, err := transport.RoundTrip(r)
				convey.So(err, convey.ShouldBeNil)
				text, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				convey.So(string(text), convey.ShouldEqual, "plan")
				convey.So(resp.Trailer.Get("X-Sum"), convey.ShouldEqual, "42")
			}
		})
		convey.Convey("The server's request is canceled when the caller disconnects", func() {
			ctx, cancel := context.WithCancel(context.Background())
			r, _ := http.NewRequestWithContext(ctx, "GET", front.URL+"/forever", nil)
			time.AfterFunc(50*time.Millisecond, cancel)
			_, err := front.Client().Transport.RoundTrip(r)
			convey.So(err, convey.ShouldNotBeNil)
			select {
			case <-canceled:
			case <-time.After(5 * time.Second):
				convey.So("the server's request was not canceled", convey.ShouldBeEmpty)
			}
		})
	})
}

func TestRefusalIsImmediate(t *testing.T) {
	convey.Convey("Given a server that is busy beyond the deadline", t, func() {
		release := make(chan struct{})
		s := newCountingServer(t, func(http.ResponseWriter, *http.Request) { <-release })
		t.Cleanup(func() { close(release) })
		front, g := newGateway(t, gateway.Config{Deadline: 200 * time.Millisecond, Admission: admission.Options{MaxQueued: 1}}, s.address())
		g.SetFleet(time.Now(), make([]mustardsaddle.VM, 1000)) // limits each gateway to one connection per server
		first := make(chan string, 1)
		go func() {
			_, text, _ := do(t, front, "POST", "/x", "")
			first <- text
		}()
		for g.InFlight() == 0 || executions("", s) == 0 {
			time.Sleep(time.Millisecond)
		}
		second := make(chan string, 1)
		go func() {
			_, text, _ := do(t, front, "POST", "/x", "")
			second <- text
		}()
		for g.InFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		convey.Convey("The queued call and the running call are refused as soon as their outcome is decided", func() {
			started := time.Now()
			convey.So(<-second, convey.ShouldEqual, "Code=4003 Outcome=NotRun\n")
			convey.So(<-first, convey.ShouldEqual, "Code=4004 Outcome=Unknown\n")
			convey.So(time.Since(started), convey.ShouldBeLessThan, 5*time.Second)
		})
	})
}

func TestStopping(t *testing.T) {
	convey.Convey("Given a gateway that shuts down while a call is in flight", t, func() {
		started, release := make(chan struct{}), make(chan struct{})
		s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = fmt.Fprint(w, "complete")
		})
		front, g := newGateway(t, gateway.Config{Admission: admission.Options{HedgeShare: -1}}, s.address())
		type response struct {
			resp *http.Response
			text string
		}
		ended := make(chan response, 1)
		go func() {
			resp, text, _ := do(t, front, "GET", "/x", "")
			ended <- response{resp, text}
		}()
		<-started
		g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
		stopped := make(chan error, 1)
		go func() { stopped <- front.Config.Shutdown(context.Background()) }()
		convey.So(g.InFlight(), convey.ShouldEqual, 1)
		close(release)
		convey.Convey("The call completes and its connection is closed", func() {
			a := <-ended
			convey.So(a.text, convey.ShouldEqual, "complete")
			convey.So(a.resp.Close, convey.ShouldBeTrue)
			convey.So(<-stopped, convey.ShouldBeNil)
		})
	})
}

// compileRules compiles a rules file that must be valid.
func compileRules(t *testing.T, text string) *rule.Table {
	t.Helper()
	file, problems := rule.Parse(text)
	if len(problems) > 0 {
		t.Fatalf("parse rules: %v", problems)
	}
	return rule.Compile(file)
}
