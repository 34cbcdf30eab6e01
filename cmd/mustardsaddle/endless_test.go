package main_test

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/forward"
)

// endlessForm is a response without end: begin, and then repeat again and again.
type endlessForm struct {
	name, begin string
	// repeat returns the nth repetition.
	repeat func(n int) string
	// segment is the size of the parts in which it is sent; 0 for whole repetitions.
	segment int
	// version is the version of HTTP of the caller.
	version string
	// cutAfter is a part of a response that is sent, and then cut, to the first request of a
	// download; the rest of it is answered without end.
	cutAfter string
	// link is true if the response accepts a link.
	link bool
}

// Versions of HTTP.
const (
	http10 = "1.0"
	http11 = "1.1"
	http2  = "2"
)

// repeated returns a function that returns a text many times.
func repeated(text string) func(int) string {
	const size = 16 << 10
	text = strings.Repeat(text, 1+size/len(text))
	return func(int) string { return text }
}

// differentFields returns a thousand header fields with names of their own.
func differentFields(n int) string {
	var b strings.Builder
	for i := range 1000 {
		_, _ = fmt.Fprintf(&b, "A%x:\r\n", n*1000+i)
	}
	return b.String()
}

// endlessForms are the responses of faulty servers.
func endlessForms() []endlessForm {
	kilobyte := strings.Repeat("x", 1024)
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	chunk := repeated("400\r\n" + kilobyte + "\r\n")
	return []endlessForm{
		{name: "status line", begin: "HTTP/1.1 200 ", repeat: repeated(kilobyte), version: http11},
		{name: "no HTTP", repeat: repeated(kilobyte), version: http11},
		{name: "long header fields", begin: ok, repeat: repeated("X-Long: " + kilobyte + "\r\n"), version: http11},
		{name: "short header fields", begin: ok, repeat: differentFields, version: http11},
		{name: "short header fields, caller on HTTP/2", begin: ok, repeat: differentFields, version: http2},
		{name: "the same header field", begin: ok, repeat: repeated("X:\r\n"), version: http11},
		{name: "header fields in segments of a byte", begin: ok, repeat: differentFields, segment: 1, version: http11},
		{name: "informational responses", repeat: repeated("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), version: http11},
		{name: "chunks", begin: chunked, repeat: chunk, version: http11},
		{name: "chunks, caller on HTTP/2", begin: chunked, repeat: chunk, version: http2},
		{name: "chunk extensions", begin: chunked, repeat: repeated("1;x=" + kilobyte + "\r\nx\r\n"), version: http11},
		{name: "trailers", begin: chunked + "0\r\n", repeat: differentFields, version: http11},
		{name: "body until the close", begin: ok + "\r\n", repeat: repeated(kilobyte), version: http11},
		{name: "body until the close, caller on HTTP/1.0", begin: ok + "\r\n", repeat: repeated(kilobyte), version: http10},
		{name: "body until the close, caller on HTTP/2", begin: ok + "\r\n", repeat: repeated(kilobyte), version: http2},
		{name: "slow body, caller on HTTP/1.0", begin: ok + "\r\n" + strings.Repeat("x", 900<<10), repeat: repeated("x"), segment: 1, version: http10},
		{name: "refusals", begin: "HTTP/1.1 503 No\r\nEndpoint-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: chunk, version: http11},
		{
			name: "rest of a download", begin: "HTTP/1.1 206 Partial Content\r\n", repeat: differentFields, version: http11,
			cutAfter: ok + "Etag: \"a\"\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", 100<<10),
		},
	}
}

// controlForms are the responses to calls that do not depend on a caller: one of each part of a
// response.
func controlForms() []endlessForm {
	var forms []endlessForm
	for _, form := range endlessForms() {
		switch form.name {
		case "status line", "long header fields", "short header fields", "header fields in segments of a byte", "chunks", "trailers", "body until the close":
			forms = append(forms, form)
		}
	}
	return forms
}

// call sends one request to a gateway, and reads from the answer slowly until the context ends.
// Callers that read slowly hold what the gateway has buffered.
func (f endlessForm) call(ctx context.Context, g *gateway) {
	if f.version == http2 {
		callHTTP2(ctx, g)
		return
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /endless HTTP/%s\r\nHost: sheds.example\r\nConnection: close\r\n\r\n", f.version)
	readSlowly(ctx, conn)
}

// readSlowly reads until an error or the end of the context.
func readSlowly(ctx context.Context, r io.Reader) {
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		if _, err := r.Read(buf); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// http2Client returns the client of the callers on HTTP/2, who share connections.
var http2Client = sync.OnceValue(func() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
})

func callHTTP2(ctx context.Context, g *gateway) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, g.url+"/endless", http.NoBody)
	if err != nil {
		return
	}
	resp, err := http2Client().Do(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	readSlowly(ctx, resp.Body)
}

// endlessListener answers each connection without end. It sends the form that is selected.
type endlessListener struct {
	net.Listener
	form atomic.Pointer[endlessForm]
	// answersAll is true if requests for all paths are answered, and not those for /endless alone.
	answersAll bool
	// answers counts the requests that were answered, forwarded those that a gateway has
	// forwarded, and links those for a link.
	answers, forwarded, links atomic.Int64
}

func newEndlessListener(t *testing.T) *endlessListener {
	ln, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	l := &endlessListener{Listener: ln}
	l.form.Store(&endlessForms()[0])
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.answer(conn)
		}
	}()
	return l
}

// answer reads a request and sends bytes until the connection is closed.
func (l *endlessListener) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || r.URL.Path != "/endless" && !l.answersAll {
		return
	}
	l.count(r)
	form := l.form.Load()
	if form.cutAfter != "" && r.Header.Get("Range") == "" {
		_, _ = io.WriteString(conn, form.cutAfter)
		return
	}
	if form.link {
		_, _ = io.WriteString(conn, upgradeResponse(r))
	}
	_, err = io.WriteString(conn, form.begin)
	for n := 0; err == nil; n++ {
		err = form.write(conn, form.repeat(n))
	}
}

func (l *endlessListener) count(r *http.Request) {
	l.answers.Add(1)
	if r.Header.Get(forward.Header) != "" {
		l.forwarded.Add(1)
	}
	if r.Header.Get("Upgrade") != "" {
		l.links.Add(1)
	}
}

// write writes a text in segments.
func (f endlessForm) write(w io.Writer, text string) error {
	size := len(text)
	if f.segment > 0 {
		size = f.segment
	}
	for at := 0; at < len(text); at += size {
		if _, err := io.WriteString(w, text[at:min(at+size, len(text))]); err != nil {
			return err
		}
	}
	return nil
}

// upgradeResponse returns the response that accepts a WebSocket connection.
func upgradeResponse(r *http.Request) string {
	const id = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + id))
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
}
