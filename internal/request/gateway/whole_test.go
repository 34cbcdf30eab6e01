package gateway_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// TestResponsesAreNotMixed sends requests with distinct bodies of distinct
// sizes over few connections, with delayed responses, canceled requests and
// connection resets. No caller may get the response of another.
func TestResponsesAreNotMixed(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
		_, _ = w.Write(append(body, r.URL.RawQuery...))
	})
	a, b := newFaultProxy(t, s.address(), nil), newFaultProxy(t, s.address(), nil)
	cfg := gateway.Config{Admission: admission.Options{MinHedge: time.Millisecond, HedgeShare: 1, RetryShare: 1}}
	front, _ := newGateway(t, cfg, a.Addr().String(), b.Addr().String())
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for i := range 50 {
				body := strings.Repeat(fmt.Sprintf("%d-%d ", caller, i), 1+(caller*i)%3000)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				if i%5 == 0 {
					ctx, cancel = context.WithTimeout(ctx, time.Duration(i%4)*time.Millisecond)
				}
				r, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("%s/safe?%d-%d", front.URL, caller, i), strings.NewReader(body))
				if resp, err := front.Client().Transport.RoundTrip(r); err == nil {
					got, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if want := body + r.URL.RawQuery; err == nil && resp.StatusCode == 200 && sha256.Sum256(got) != sha256.Sum256([]byte(want)) {
						t.Errorf("caller %d call %d: got %.40q, want %.40q", caller, i, got, want)
					}
				}
				cancel()
				if caller == 0 && i%10 == 9 {
					a.resetAll()
				}
			}
		})
	}
	wg.Wait()
}

// TestResponseOfAnotherAttempt uses a server that answers each request with the
// response to the previous one, as on a connection whose responses are out of step.
// The gateway must not relay it.
func TestResponseOfAnotherAttempt(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		last := "none"
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMustardsaddle-Attempt: %s\r\nContent-Length: 6\r\n\r\nsecret", last)
				last = r.Header.Get(header.Attempt)
			}
			_ = c.Close()
		}
	}()
	front, _ := newGateway(t, gateway.Config{}, ln.Addr().String())
	for _, method := range []string{"GET", "POST"} {
		resp, text, err := do(t, front, method, "/x", "")
		if err != nil || resp.StatusCode != 502 || text != "Code=4011 Outcome=Unknown\n" {
			t.Errorf("%s: got %v %q %v, want 502 and Unknown", method, resp, text, err)
		}
	}
}

// patternBody generates a deterministic body while it is read.
type patternBody struct{ size, pos int64 }

func (b *patternBody) Read(p []byte) (int, error) {
	if b.pos >= b.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), b.size-b.pos))
	for i := range n {
		p[i] = byte((b.pos + int64(i)) * 2654435761 >> 13)
	}
	b.pos += int64(n)
	return n, nil
}

func (b *patternBody) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		b.pos = offset
	case io.SeekCurrent:
		b.pos += offset
	case io.SeekEnd:
		b.pos = b.size + offset
	}
	return b.pos, nil
}

// download reads a URL to its end and returns the digest, the size and the largest
// heap.
func download(front *httptest.Server) (sum string, n int64, heap uint64, err error) {
	resp, err := front.Client().Get(front.URL + "/video")
	if err != nil {
		return "", 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	h, m := sha256.New(), runtime.MemStats{}
	for err == nil {
		var part int64
		part, err = io.CopyN(h, resp.Body, 10<<20)
		n += part
		runtime.ReadMemStats(&m)
		heap = max(heap, m.HeapAlloc)
	}
	if err == io.EOF {
		err = nil
	}
	return fmt.Sprintf("%x", h.Sum(nil)), n, heap, err
}

// TestDownloadAcrossKilledServers breaks the connections of a 200 MiB download after
// 70 MiB each. With a strong ETag, the download must be resumed and complete. Without
// one, the truncation must be visible. The body must not be buffered in memory.
func TestDownloadAcrossKilledServers(t *testing.T) {
	const size = 200 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &patternBody{size: size})
	for _, etag := range []string{`"v1"`, `W/"v1"`, ""} {
		t.Run("etag "+etag, func(t *testing.T) {
			s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
				if etag != "" {
					w.Header().Set("Etag", etag)
				}
				http.ServeContent(w, r, "video.mp4", time.Time{}, &patternBody{size: size})
			})
			breaks := func(n int) fault { return fault{downBytes: 70 << 20, halfClose: n%2 == 0} }
			a, b := newFaultProxy(t, s.address(), breaks), newFaultProxy(t, s.address(), breaks)
			front, _ := newGateway(t, gateway.Config{}, a.Addr().String(), b.Addr().String())
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			sum, n, heap, err := download(front)
			if etag == `"v1"` {
				if err != nil || n != size || sum != fmt.Sprintf("%x", want.Sum(nil)) {
					t.Errorf("got %d bytes, digest %s, %v, want the complete body", n, sum, err)
				}
			} else if err == nil {
				t.Errorf("got %d bytes and no error, want a visible truncation", n)
			}
			if heap > before.HeapAlloc+(32<<20) {
				t.Errorf("heap grew from %d to %d bytes, want constant memory", before.HeapAlloc, heap)
			}
		})
	}
}

func TestResumeRejectsDifferentBody(t *testing.T) {
	convey.Convey("Given a second server with a different version of the body", t, func() {
		version := func(etag string) *countingServer {
			return newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Etag", etag)
				r.Header.Del("If-Range") // a server that does not support If-Range
				http.ServeContent(w, r, "video.mp4", time.Time{}, &patternBody{size: 4 << 20})
			})
		}
		breaks := func(int) fault { return fault{downBytes: 1 << 20} }
		a := newFaultProxy(t, version(`"v1"`).address(), breaks)
		b := newFaultProxy(t, version(`"v2"`).address(), breaks)
		front, _ := newGateway(t, gateway.Config{}, a.Addr().String(), b.Addr().String())
		convey.Convey("The download is truncated instead of mixing both versions", func() {
			_, n, _, err := download(front)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(n, convey.ShouldBeLessThan, 4<<20)
		})
	})
}

// TestTruncatedStreamIsVisible truncates responses that state no length. The caller
// must be able to detect it.
func TestTruncatedStreamIsVisible(t *testing.T) {
	for name, head := range map[string]string{"chunked": "", "close-delimited": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if head == "" {
					_, _ = io.Copy(w, &patternBody{size: 4 << 20})
					return
				}
				c, _, _ := http.NewResponseController(w).Hijack()
				_, _ = io.WriteString(c, head)
				_, _ = io.Copy(c, &patternBody{size: 4 << 20})
				_ = c.Close()
			})
			p := newFaultProxy(t, s.address(), func(int) fault { return fault{downBytes: 1 << 20} })
			front, _ := newGateway(t, gateway.Config{}, p.Addr().String())
			if _, n, _, err := download(front); err == nil || n >= 4<<20 {
				t.Errorf("got %d bytes, %v, want a visible truncation", n, err)
			}
		})
	}
}

// TestStalledDownload uses servers that go silent within a body. A download that
// can be resumed must complete; any other must be visibly aborted. The response
// deadline does not apply to bodies.
func TestStalledDownload(t *testing.T) {
	for _, etag := range []string{`"v1"`, ""} {
		t.Run("etag "+etag, func(t *testing.T) {
			s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header()["Etag"] = []string{etag}
				http.ServeContent(w, r, "video.mp4", time.Time{}, &patternBody{size: 4 << 20})
			})
			stalls := func(n int) fault { return fault{downBytes: 1 << 20 * int64(n), freeze: true} }
			a, b := newFaultProxy(t, s.address(), stalls), newFaultProxy(t, s.address(), stalls)
			front, _ := newGateway(t, gateway.Config{ProgressTimeout: 100 * time.Millisecond}, a.Addr().String(), b.Addr().String())
			_, n, _, err := download(front)
			if complete := err == nil && n == 4<<20; complete != (etag != "") || err == nil != complete {
				t.Errorf("got %d bytes, %v, want a complete body with an ETag, and an error without one", n, err)
			}
		})
	}
}

// TestUploadStreams uploads 64 MiB, which the gateway must stream to the server
// unchanged.
func TestUploadStreams(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, r.Body)
		_, _ = fmt.Fprintf(w, "%d %x", n, h.Sum(nil))
	})
	front, _ := newGateway(t, gateway.Config{Deadline: 5 * time.Second}, s.address())
	const size = 64 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &patternBody{size: size})
	resp, err := front.Client().Post(front.URL+"/scans", "application/octet-stream", &patternBody{size: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != fmt.Sprintf("%d %x", size, want.Sum(nil)) {
		t.Fatalf("got %q, %v, want the digest of the upload", got, err)
	}
}
