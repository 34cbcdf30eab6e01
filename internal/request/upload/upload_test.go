package upload_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
	"mustardsaddle.example/mustardsaddle/internal/request/upload"
)

// caller is the connection of a caller whose body is in memory.
type caller struct{}

// SetReadDeadline does nothing.
func (caller) SetReadDeadline(time.Time) error { return nil }

// newBody returns a body. One of which the length is stated is kept if it has at most 10 bytes.
func newBody(method string, body io.Reader, length int64) *upload.Body {
	r := httptest.NewRequest(method, "/rosters", body)
	r.ContentLength = length
	return upload.New(upload.Config{
		Request: r, Connection: caller{}, Identity: identity.New(r, identity.Scope{}), MaxBytes: 1 << 20, MaxKeptBytes: 10,
	})
}

// readAll returns what a sending of the body contains, as a server would receive it.
func readAll(t *testing.T, s *upload.Sending) string {
	t.Helper()
	out := httptest.NewRequest(http.MethodPost, "/rosters", http.NoBody)
	s.Attach(out, nil, false)
	text, err := io.ReadAll(out.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestStreamedBodyHasOneSending(t *testing.T) {
	convey.Convey("Given a body in chunks", t, func() {
		b := newBody(http.MethodPost, strings.NewReader("a lathe"), -1)
		first, err := b.Open()
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("A second sending is refused while there is one", func() {
			_, err := b.Open()
			convey.So(err, convey.ShouldEqual, upload.ErrTaken)
		})
		convey.Convey("A sending that was closed unread returns the body", func() {
			_ = first.Close()
			second, err := b.Open()
			convey.So(err, convey.ShouldBeNil)
			convey.So(readAll(t, second), convey.ShouldEqual, "a lathe")
			_, err = first.Read(make([]byte, 1))
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("After one byte was read, there is no further sending", func() {
			n, err := first.Read(make([]byte, 1))
			convey.So(n, convey.ShouldEqual, 1)
			convey.So(err, convey.ShouldBeNil)
			_ = first.Close()
			convey.So(b.Taken(), convey.ShouldBeTrue)
			_, err = b.Open()
			convey.So(err, convey.ShouldEqual, upload.ErrTaken)
		})
	})
	convey.Convey("Given a body that is kept", t, func() {
		b := newBody(http.MethodPost, strings.NewReader("a lathe"), 7)
		convey.So(b.Keep(time.Now()), convey.ShouldBeNil)
		convey.Convey("Each sending has all of it, also at the same time", func() {
			for range 3 {
				s, err := b.Open()
				convey.So(err, convey.ShouldBeNil)
				convey.So(readAll(t, s), convey.ShouldEqual, "a lathe")
			}
		})
	})
}

// recordingCaller is the connection of a caller that records whether a read deadline was set.
type recordingCaller struct{ deadlines int }

// SetReadDeadline records the call.
func (c *recordingCaller) SetReadDeadline(time.Time) error {
	c.deadlines++
	return nil
}

// TestDiscardLeavesReceivedBodyAlone guards against a read deadline after the end of a body, which net/http would
// take for the end of the connection.
func TestDiscardLeavesReceivedBodyAlone(t *testing.T) {
	for name, length := range map[string]int64{"kept": 7, "chunks": -1, "none": 0} {
		c := &recordingCaller{}
		r := httptest.NewRequest(http.MethodPost, "/rosters", strings.NewReader("a lathe"))
		r.ContentLength = length
		b := upload.New(upload.Config{Request: r, Connection: c, Identity: identity.New(r, identity.Scope{}), MaxBytes: 10, MaxKeptBytes: 10})
		if err := b.Keep(time.Now()); err != nil {
			t.Fatal(err)
		}
		if s, err := b.Open(); err != nil || readAll(t, s) != "a lathe" && length != 0 {
			t.Fatalf("%s: got error %v or another body, want the whole body", name, err)
		}
		before := c.deadlines
		if err := b.Discard(time.Now()); err != nil || c.deadlines != before {
			t.Errorf("%s: got %d read deadlines, error %v, want none", name, c.deadlines-before, err)
		}
	}
}

// TestKeptBodyIsNotSentBeforeItIsRead guards against a request that is sent with an empty body because the
// body that is to be kept was not received.
func TestKeptBodyIsNotSentBeforeItIsRead(t *testing.T) {
	for name, body := range map[string]io.Reader{"not read": strings.NewReader("a lathe"), "too short": strings.NewReader("a")} {
		t.Run(name, func(t *testing.T) {
			b := newBody(http.MethodPost, body, 7)
			if name == "too short" && b.Keep(time.Now()) == nil {
				t.Fatal("got no error from a body that is too short, want one")
			}
			if _, err := b.Open(); !errors.Is(err, upload.ErrNotKept) {
				t.Errorf("got error %v, want %v", err, upload.ErrNotKept)
			}
		})
	}
}

func TestDigestLeavesBodyWhole(t *testing.T) {
	convey.Convey("Given a body in chunks", t, func() {
		b := newBody(http.MethodPost, strings.NewReader("a lathe"), -1)
		convey.Convey("What the digest has read is in the next sending", func() {
			want, known := b.Digest(time.Now(), time.Second)
			convey.So(known, convey.ShouldBeTrue)
			s, err := b.Open()
			convey.So(err, convey.ShouldBeNil)
			convey.So(readAll(t, s), convey.ShouldEqual, "a lathe")
			got, known := b.KnownDigest()
			convey.So(known, convey.ShouldBeTrue)
			convey.So(got, convey.ShouldEqual, want)
		})
		convey.Convey("A sending that has a part reads nothing more once the digest has read the rest", func() {
			s, err := b.Open()
			convey.So(err, convey.ShouldBeNil)
			_, _ = s.Read(make([]byte, 1))
			_, known := b.Digest(time.Now(), time.Second)
			convey.So(known, convey.ShouldBeTrue)
			n, err := s.Read(make([]byte, 9))
			convey.So(n, convey.ShouldEqual, 0)
			convey.So(errors.Is(err, io.EOF), convey.ShouldBeFalse)
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}

// TestDigestWaitsNoLongerThanStated guards against a call that waits for a caller who stalls while a
// sending reads from it.
func TestDigestWaitsNoLongerThanStated(t *testing.T) {
	stalled := stalledCaller{began: make(chan struct{}), end: make(chan struct{})}
	b := newBody(http.MethodPost, stalled, -1)
	s, err := b.Open()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		_, err := s.Read(make([]byte, 1))
		ended <- err
	}()
	<-stalled.began
	if _, known := b.Digest(time.Now(), 20*time.Millisecond); known {
		t.Error("got a digest, want none")
	}
	close(stalled.end)
	if err := <-ended; err == nil {
		t.Error("got no error from a sending that was closed, want one")
	}
}

// stalledCaller is a body that brings nothing until its end.
type stalledCaller struct{ began, end chan struct{} }

func (c stalledCaller) Read([]byte) (int, error) {
	close(c.began)
	<-c.end
	return 0, io.EOF
}

// TestFailedWriteTakesNothing guards against a body that lost its first byte to a connection on which
// nothing could be written: http.Transport reads from some bodies before it writes.
func TestFailedWriteTakesNothing(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "DELETE", "OPTIONS", "PROPFIND", "SEARCH", "POST", "PUT", "PATCH"} {
		for _, size := range []int{1, 4096} {
			for _, chunked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d bytes, chunked %v", method, size, chunked), func(t *testing.T) {
					text, length := strings.Repeat("x", size), int64(size)
					if chunked {
						length = -1
					}
					r := httptest.NewRequest(method, "http://127.0.0.1:1/rosters", strings.NewReader(text))
					r.ContentLength = length
					b := upload.New(upload.Config{Request: r, Connection: caller{}, Identity: identity.New(r, identity.Scope{}), MaxBytes: 1 << 20})
					s, err := b.Open()
					if err != nil {
						t.Fatal(err)
					}
					sendBlocked(t, s, r)
					_ = s.Close()
					again, err := b.Open()
					if err != nil {
						t.Fatalf("got %v, want the body", err)
					}
					if got := readAll(t, again); got != text {
						t.Errorf("got %d bytes, want %d", len(got), size)
					}
				})
			}
		}
	}
}

// sendBlocked sends a request on a connection on which nothing can be written.
func sendBlocked(t *testing.T, s *upload.Sending, r *http.Request) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	transport := connection.NewTransport(connection.TransportConfig{DialTimeout: time.Second})
	out := r.Clone(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*connection.CountedConn).BlockWrites()
	}}))
	out.URL.Host, out.RequestURI = ln.Addr().String(), ""
	s.Attach(out, nil, true)
	if resp, err := transport.RoundTrip(out); err == nil {
		_ = resp.Body.Close()
		t.Fatal("got a response, want an error")
	}
}
