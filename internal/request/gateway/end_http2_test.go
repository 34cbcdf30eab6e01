package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/drain"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// streamCut is what a caller on HTTP/2 sees in place of a response without a header.
const streamCut = "cut without a header"

// streamRow is an end of a call on a stream of HTTP/2.
type streamRow struct {
	name, method string
	// body is the body of the request; nil means none.
	body  func() io.Reader
	serve func(c net.Conn, r *http.Request) bool
	// want is what the caller gets; alternatives are separated by "|".
	want string
}

// stream returns a body without a length.
func stream() io.Reader { return io.MultiReader(strings.NewReader("begin")) }

// unended returns a body that does not end.
func unended() io.Reader {
	r, w := io.Pipe()
	go func() { _, _ = io.WriteString(w, "begin") }()
	return r
}

// streamRows holds the ends of calls on streams of HTTP/2.
var streamRows = []streamRow{
	{name: "answer", method: http.MethodGet, want: "200"},
	{name: "answer without a body", method: http.MethodGet, serve: answers("HTTP/1.1 204 No Content\r\n\r\n"), want: "204"},
	{name: "answer to a body", method: http.MethodPost, body: stream, want: "200"},
	{name: "early answer", method: http.MethodPost, body: stream, serve: answersEarly, want: "200"},
	{name: "server breaks", method: http.MethodGet, serve: sends(""), want: "502 4005 Unknown"},
	{name: "server breaks after a body", method: http.MethodPost, body: stream, serve: sends(""), want: "502 4005 Unknown"},
	{name: "short answer breaks", method: http.MethodGet, serve: sends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegin"), want: "502 4005 Unknown"},
	{name: "long answer breaks", method: http.MethodGet, serve: sends(lengthOfPart + part), want: "cut 200"},
	{name: "answer in chunks breaks", method: http.MethodGet, serve: sends(oneChunk), want: "cut 200"},
	{name: "answer in chunks stands", method: http.MethodGet, serve: standsAfter(oneChunk), want: "cut 200"},
	{name: "deadline", method: http.MethodGet, serve: standsAfter(""), want: "504 4004 Unknown"},
	{name: "deadline after a body", method: http.MethodPost, body: stream, serve: standsAfter(""), want: "504 4004 Unknown"},
}

// streamClient is a caller on one connection of HTTP/2.
type streamClient struct {
	*http.Transport
	url string
}

func newStreamClient(t *testing.T, g *endGateway) streamClient {
	client := &http.Transport{Protocols: new(http.Protocols)}
	client.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(client.CloseIdleConnections)
	return streamClient{Transport: client, url: g.front.URL}
}

// call sends a request and returns what the caller gets, and whether it was sent on a connection that
// had other requests.
func (c streamClient) call(method, id string, body io.Reader) (got string, reused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endPatience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, method, c.url+"/ends", body)
	if err != nil {
		return err.Error(), false
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Idempotency-Key", id)
	resp, err := c.RoundTrip(r)
	if err != nil {
		return streamCut, reused
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("cut %d", resp.StatusCode), reused
	}
	return describeResponse(resp), reused
}

// play sends the request on a connection that had another one, and another one after it.
func (row streamRow) play(t *testing.T, through bool) {
	g := newEndGateway(t, gateway.Config{}, newEndServer(t, row.serve), through)
	c := newStreamClient(t, g)
	if got, _ := c.call(http.MethodGet, beforeID, nil); got != "200" {
		t.Fatalf("request before: got %s, want 200", got)
	}
	var body io.Reader
	if row.body != nil {
		body = row.body()
	}
	if got, _ := c.call(row.method, endID, body); !slices.Contains(strings.Split(row.want, "|"), got) {
		t.Fatalf("got %s, want %s", got, row.want)
	}
	got, reused := c.call(http.MethodGet, behindID, nil)
	endRow{}.checkNext(t, got, through)
	if !reused {
		t.Error("next request: got a new connection, want the one that had the others")
	}
	if lines := g.log.waitResults(endID, 1); !through && len(lines) != 1 {
		t.Errorf("got log lines %v about the end of the call, want one", lines)
	}
}

// TestEachEndOfAStreamIsAnsweredOrVisible guards against a stream of HTTP/2 that ends although its request was
// read and has no answer, and against its end harming other streams of the connection.
func TestEachEndOfAStreamIsAnsweredOrVisible(t *testing.T) {
	for _, row := range streamRows {
		for _, through := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, through another gateway %v", row.name, through), func(t *testing.T) {
				t.Parallel()
				row.play(t, through)
			})
		}
	}
}

// TestStreamIsAnsweredAtDeadlineAfterHints guards against a stream that is reset at the deadline of its call in place of an
// answer, because an informational response came before.
func TestStreamIsAnsweredAtDeadlineAfterHints(t *testing.T) {
	row := streamRow{
		name: "deadline after hints", method: http.MethodGet, serve: standsAfter("HTTP/1.1 103 Early Hints\r\n\r\n"),
		want: "504 4004 Unknown",
	}
	for i := range 4 {
		t.Run(fmt.Sprint(i), func(t *testing.T) { row.play(t, false) })
	}
}

// TestStreamThatBreaksEarlyIsAnswered guards against a stream that is reset without a header because the body of its
// response broke off after its first bytes.
func TestStreamThatBreaksEarlyIsAnswered(t *testing.T) {
	row := streamRow{method: http.MethodGet, serve: sends(lengthOfPart + "begin"), want: "502 4005 Unknown"}
	for _, through := range []bool{false, true} {
		t.Run(fmt.Sprintf("through another gateway %v", through), func(t *testing.T) { row.play(t, through) })
	}
}

// TestStreamsBeyondTheLimitAreAnswered guards against requests beyond the number of streams of a connection, or on
// streams that are open when a stop begins, having no answer.
func TestStreamsBeyondTheLimitAreAnswered(t *testing.T) {
	const streams = 300
	for _, stops := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop begins %v", stops), func(t *testing.T) {
			g := newEndGateway(t, gateway.Config{}, newEndServer(t, nil), false)
			c := newStreamClient(t, g)
			results := make(chan string, streams)
			for range streams {
				go func() {
					got, _ := c.call(http.MethodGet, behindID, nil)
					results <- got
				}()
			}
			if stops {
				g.SetStopping(drain.New(drain.Config{Begun: time.Now()}))
			}
			for range streams {
				if got := <-results; got == streamCut || strings.HasPrefix(got, "cut") {
					t.Errorf("got %s, want an answer or a refusal", got)
				}
			}
		})
	}
}

// TestStreamEndsBeforeItsUpload guards against a whole response whose stream is not ended, and is reset later, because
// its caller does not end the body of the request.
func TestStreamEndsBeforeItsUpload(t *testing.T) {
	rows := []streamRow{
		{name: "deadline", method: http.MethodPost, body: unended, serve: standsAfter(""), want: "504 4004 Unknown"},
		{name: "early answer", method: http.MethodPost, body: unended, serve: answersEarly, want: "200"},
	}
	for _, row := range rows {
		for _, through := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, through another gateway %v", row.name, through), func(t *testing.T) {
				t.Parallel()
				row.play(t, through)
			})
		}
	}
}

// TestStreamWaitsForRestOfDownload guards against a stream that is reset while its download is requested from another
// server, because the write before was long ago.
func TestStreamWaitsForRestOfDownload(t *testing.T) {
	const progress, pause = 500 * time.Millisecond, 350 * time.Millisecond
	address := newConnServer(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.Header.Get("Range") == "" {
			_, _ = io.WriteString(c, etagLength+part)
			time.Sleep(pause)
			return
		}
		time.Sleep(pause)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 206 Partial Content\r\nEtag: \"v1\"\r\nContent-Range: bytes 50000-99999/100000\r\nContent-Length: 50000\r\n\r\n%s", part)
	})
	front, _ := newGateway(t, gateway.Config{ProgressTimeout: progress, MaxAttempts: 4}, address)
	got, _ := newStreamClient(t, &endGateway{front: front}).call(http.MethodGet, endID, nil)
	if got != "200" {
		t.Errorf("got %s, want 200", got)
	}
}
