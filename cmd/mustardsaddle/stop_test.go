package main_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

const (
	// videoBytes is more than the buffers between a server and a caller hold.
	videoBytes = 64 << 20
	// uploadBytes is so small that the simulated server echoes the body only
	// once it has received all of it.
	uploadBytes = 1024
	// transferTime is the minimum duration of a slow transfer.
	transferTime = 4 * time.Second
	// transferSteps is the minimum number of reads of a slow transfer.
	transferSteps = 64
	// stopTimeout bounds the exit of a gateway without calls in flight.
	stopTimeout = 15 * time.Second
)

// slowReader throttles r, which has length bytes in total, so that reading all
// of it takes at least transferTime.
type slowReader struct {
	r      io.Reader
	length int
}

// Read sleeps, then reads at most length/transferSteps bytes.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(transferTime / transferSteps)
	return s.r.Read(p[:min(len(p), s.length/transferSteps)])
}

// download reads a video slowly, and returns an error unless it is complete. It
// closes started when the response begins.
func download(url string, started chan<- struct{}) error {
	resp, err := http.Get(fmt.Sprintf("%s/videos?Size=%d", url, videoBytes))
	close(started)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	hash := sha256.New()
	body := slowReader{r: bufio.NewReaderSize(resp.Body, videoBytes/transferSteps), length: videoBytes}
	n, err := io.CopyBuffer(struct{ io.Writer }{hash}, body, make([]byte, videoBytes/transferSteps))
	if err != nil {
		return fmt.Errorf("read %d of %d bytes: %w", n, videoBytes, err)
	}
	want := sha256.Sum256(make([]byte, videoBytes))
	if !bytes.Equal(hash.Sum(nil), want[:]) {
		return fmt.Errorf("got %d bytes with the wrong content, want %d zero bytes", n, videoBytes)
	}
	return nil
}

// upload sends a body slowly, and returns an error unless the whole body is
// echoed. It closes started before it sends.
func upload(url string, started chan<- struct{}) error {
	body := strings.Repeat("booking ", uploadBytes/8)
	close(started)
	resp := sendRequest(context.Background(), http.DefaultClient, http.MethodPost, url+"/bookings",
		slowReader{r: strings.NewReader(body), length: uploadBytes})
	if !resp.ok() || string(resp.body) != body {
		return fmt.Errorf("got response %v, want the echoed body", resp)
	}
	return nil
}

func TestGracefulStopUnderLoad(t *testing.T) {
	convey.Convey("Given a gateway with downloads, uploads, queued calls and keep-alive connections", t, func() {
		s := newSystem(t, 6, 2, "--work", "20ms")
		g := s.gateways[0]
		list := targets(s.gateways...)
		tr := newTraffic(40, list)
		defer tr.stop()
		const transfers = 2
		results := make(chan error, 2*transfers)
		for range transfers {
			downloadStarted, uploadStarted := make(chan struct{}), make(chan struct{})
			go func() { results <- download(g.url, downloadStarted) }()
			go func() { results <- upload(g.url, uploadStarted) }()
			<-downloadStarted
			<-uploadStarted
		}
		convey.Convey("SIGTERM stops it without cutting off a call, and calls through the other gateway succeed", func() {
			g.signal(syscall.SIGTERM)
			s.waitFor("the gateway to become unready", func() bool { return !g.ready() })
			list[0].closed.Store(true)
			for range cap(results) {
				convey.So(<-results, convey.ShouldBeNil)
			}
			convey.So(g.waitExit(stopTimeout), convey.ShouldBeNil)
			after := tr.calls.Load()
			s.waitFor("calls through the other gateway", func() bool { return tr.calls.Load() > after+100 })
			tr.stop()
			convey.So(tr.failures(), convey.ShouldBeEmpty)
			line, ok := g.lastEvent("StopEnded")
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(line["Cut"], convey.ShouldEqual, 0)
		})
	})
}

func TestStopDuringStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platform.Fault
	}{
		{"down", platform.Fault{Down: true}},
		{"slow", platform.Fault{Delay: 10 * time.Second}},
		{"healthy", platform.Fault{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("Given a gateway that starts while the platform is "+c.name, t, func() {
				s := newSystem(t, 1, 0)
				g := s.addGateway(0)
				s.setPlatformFault(c.fault)
				s.startGateway(g)
				s.waitFor("the gateway to start", func() bool { _, ok := g.lastEvent("Started"); return ok })
				g.signal(syscall.SIGTERM)
				convey.So(g.waitExit(stopTimeout), convey.ShouldBeNil)
			})
		})
	}
}
