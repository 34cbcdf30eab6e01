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

// TestEachCallerGetsItsOwnAnswer runs callers with distinct bodies of distinct
// sizes over few connections, with late answers and callers that go away.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	j := newJudge(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
		_, _ = w.Write(append(body, r.URL.RawQuery...))
	})
	a, b := newLink(t, j.address(), nil), newLink(t, j.address(), nil)
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
					a.cut()
				}
			}
		})
	}
	wg.Wait()
}

// TestAnswerOfAnotherAttempt has a server that answers each request with the
// answer of the one before, as a confused connection would.
func TestAnswerOfAnotherAttempt(t *testing.T) {
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

// video is a body that is made as it is read.
type video struct{ size, at int64 }

func (v *video) Read(p []byte) (int, error) {
	if v.at >= v.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), v.size-v.at))
	for i := range n {
		p[i] = byte((v.at + int64(i)) * 2654435761 >> 13)
	}
	v.at += int64(n)
	return n, nil
}

func (v *video) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		v.at = offset
	case io.SeekCurrent:
		v.at += offset
	case io.SeekEnd:
		v.at = v.size + offset
	}
	return v.at, nil
}

// download reads a URL to its end and returns its digest and the largest heap.
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

func TestDownloadAcrossKilledServers(t *testing.T) {
	const size = 200 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &video{size: size})
	for _, etag := range []string{`"v1"`, `W/"v1"`, ""} {
		t.Run("etag "+etag, func(t *testing.T) {
			j := newJudge(t, func(w http.ResponseWriter, r *http.Request) {
				if etag != "" {
					w.Header().Set("Etag", etag)
				}
				http.ServeContent(w, r, "video.mp4", time.Time{}, &video{size: size})
			})
			dies := func(n int) fault { return fault{down: 70 << 20, half: n%2 == 0} }
			a, b := newLink(t, j.address(), dies), newLink(t, j.address(), dies)
			front, _ := newGateway(t, gateway.Config{}, a.Addr().String(), b.Addr().String())
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			sum, n, heap, err := download(front)
			if etag == `"v1"` {
				if err != nil || n != size || sum != fmt.Sprintf("%x", want.Sum(nil)) {
					t.Errorf("got %d bytes, digest %s, %v, want the whole video", n, sum, err)
				}
			} else if err == nil {
				t.Errorf("got %d bytes and a clean end, want a visible cut", n)
			}
			if heap > before.HeapAlloc+(32<<20) {
				t.Errorf("heap grew from %d to %d bytes, want constant memory", before.HeapAlloc, heap)
			}
		})
	}
}

func TestResumeChecksTheBody(t *testing.T) {
	convey.Convey("Given a second server that has another version of the video", t, func() {
		version := func(etag string) *judge {
			return newJudge(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Etag", etag)
				r.Header.Del("If-Range") // a server that does not know it
				http.ServeContent(w, r, "video.mp4", time.Time{}, &video{size: 4 << 20})
			})
		}
		dies := func(int) fault { return fault{down: 1 << 20} }
		a := newLink(t, version(`"v1"`).address(), dies)
		b := newLink(t, version(`"v2"`).address(), dies)
		front, _ := newGateway(t, gateway.Config{}, a.Addr().String(), b.Addr().String())
		convey.Convey("The download is cut, not mixed", func() {
			_, n, _, err := download(front)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(n, convey.ShouldBeLessThan, 4<<20)
		})
	})
}

// TestCutOfAStreamIsVisible cuts answers that state no length.
func TestCutOfAStreamIsVisible(t *testing.T) {
	for name, head := range map[string]string{"chunked": "", "until close": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			j := newJudge(t, func(w http.ResponseWriter, _ *http.Request) {
				if head == "" {
					_, _ = io.Copy(w, &video{size: 4 << 20})
					return
				}
				c, _, _ := http.NewResponseController(w).Hijack()
				_, _ = io.WriteString(c, head)
				_, _ = io.Copy(c, &video{size: 4 << 20})
				_ = c.Close()
			})
			l := newLink(t, j.address(), func(int) fault { return fault{down: 1 << 20} })
			front, _ := newGateway(t, gateway.Config{}, l.Addr().String())
			if _, n, _, err := download(front); err == nil || n >= 4<<20 {
				t.Errorf("got %d bytes, %v, want a visible cut", n, err)
			}
		})
	}
}

// TestStalledDownload has a server go silent in the middle of a body: a download that
// can be resumed goes on, any other is visibly cut. The deadline does not matter.
func TestStalledDownload(t *testing.T) {
	for _, etag := range []string{`"v1"`, ""} {
		t.Run("etag "+etag, func(t *testing.T) {
			j := newJudge(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header()["Etag"] = []string{etag}
				http.ServeContent(w, r, "video.mp4", time.Time{}, &video{size: 4 << 20})
			})
			stalls := func(n int) fault { return fault{down: 1 << 20 * int64(n), freeze: true} }
			a, b := newLink(t, j.address(), stalls), newLink(t, j.address(), stalls)
			front, _ := newGateway(t, gateway.Config{Progress: 100 * time.Millisecond}, a.Addr().String(), b.Addr().String())
			_, n, _, err := download(front)
			if whole := err == nil && n == 4<<20; whole != (etag != "") || err == nil != whole {
				t.Errorf("got %d bytes, %v", n, err)
			}
		})
	}
}

// TestUploadStreams sends 64 MB through, in constant memory.
func TestUploadStreams(t *testing.T) {
	j := newJudge(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, r.Body)
		_, _ = fmt.Fprintf(w, "%d %x", n, h.Sum(nil))
	})
	front, _ := newGateway(t, gateway.Config{Deadline: 5 * time.Second}, j.address())
	const size = 64 << 20
	want := sha256.New()
	_, _ = io.Copy(want, &video{size: size})
	resp, err := front.Client().Post(front.URL+"/scans", "application/octet-stream", &video{size: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != fmt.Sprintf("%d %x", size, want.Sum(nil)) {
		t.Fatalf("got %q, %v, want the digest of the upload", got, err)
	}
}
