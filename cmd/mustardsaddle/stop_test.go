package main_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os/exec"
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
	// uploadBytes is so few that the stand-in echoes them only when it has all.
	uploadBytes = 1024
	// slowTime is the least time that a slow transfer takes.
	slowTime = 4 * time.Second
	// slowSteps is in how many steps it is passed at least.
	slowSteps = 64
	// stopTime bounds the end of a gateway that has nothing left to do.
	stopTime = 15 * time.Second
)

// slowly passes the bytes of r, length in all, in steps that take slowTime.
type slowly struct {
	r      io.Reader
	length int
}

// Read reads at most one step.
func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(slowTime / slowSteps)
	return s.r.Read(p[:min(len(p), s.length/slowSteps)])
}

// download reads a video slowly, and tells whether it came whole.
func download(url string, began chan<- struct{}) error {
	resp, err := http.Get(fmt.Sprintf("%s/videos?Size=%d", url, videoBytes))
	close(began)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got := sha256.New()
	body := slowly{r: bufio.NewReaderSize(resp.Body, videoBytes/slowSteps), length: videoBytes}
	n, err := io.CopyBuffer(struct{ io.Writer }{got}, body, make([]byte, videoBytes/slowSteps))
	if err != nil {
		return fmt.Errorf("got %d of %d bytes: %w", n, videoBytes, err)
	}
	want := sha256.Sum256(make([]byte, videoBytes))
	if !bytes.Equal(got.Sum(nil), want[:]) {
		return fmt.Errorf("got %d bytes that differ, want %d", n, videoBytes)
	}
	return nil
}

// upload sends a body slowly, and tells whether the echo is whole.
func upload(url string, began chan<- struct{}) error {
	body := strings.Repeat("booking ", uploadBytes/8)
	close(began)
	a := call(context.Background(), http.DefaultClient, http.MethodPost, url+"/bookings",
		slowly{r: strings.NewReader(body), length: uploadBytes})
	if !a.ok() || string(a.body) != body {
		return fmt.Errorf("got %v", a)
	}
	return nil
}

func TestStopUnderLoadCutsNothing(t *testing.T) {
	convey.Convey("Given a gateway with downloads, uploads, queued and keep-alive callers", t, func() {
		s := newSystem(t, 6, 2, "--work", "20ms")
		g := s.gateways[0]
		list := targets(s.gateways...)
		f := newTraffic(40, list)
		defer f.stop()
		const transfers = 2
		ends := make(chan error, 2*transfers)
		for range transfers {
			got, sent := make(chan struct{}), make(chan struct{})
			go func() { ends <- download(g.url, got) }()
			go func() { ends <- upload(g.url, sent) }()
			<-got
			<-sent
		}
		convey.Convey("SIGTERM ends it with nothing cut, and calls go on through the other", func() {
			g.signal(syscall.SIGTERM)
			s.wait("the gateway to be unready", func() bool { return !g.ready() })
			list[0].closed.Store(true)
			for range cap(ends) {
				convey.So(<-ends, convey.ShouldBeNil)
			}
			convey.So(g.waitEnd(stopTime), convey.ShouldBeNil)
			after := f.calls.Load()
			s.wait("calls through the other gateway", func() bool { return f.calls.Load() > after+100 })
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
			line, ok := g.logged("StopEnded")
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(line["Cut"], convey.ShouldEqual, 0)
		})
	})
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	convey.Convey("Given a gateway that stops while a download goes on", t, func() {
		s := newSystem(t, 1, 1)
		g := s.gateways[0]
		began, end := make(chan struct{}), make(chan error, 1)
		go func() { end <- download(g.url, began) }()
		<-began
		g.signal(syscall.SIGTERM)
		s.wait("the stop", func() bool { _, ok := g.logged("StopBegun"); return ok })
		convey.Convey("A second signal ends it and it says what it cut", func() {
			g.signal(syscall.SIGTERM)
			begin := time.Now()
			err := g.waitEnd(stopTime)
			convey.So(time.Since(begin), convey.ShouldBeLessThan, slowTime/2)
			convey.So(err, convey.ShouldHaveSameTypeAs, &exec.ExitError{})
			line, ok := g.logged("StopEnded")
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(line["Cut"], convey.ShouldEqual, 1)
			convey.So(<-end, convey.ShouldNotBeNil)
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
		{"well", platform.Fault{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("Given a gateway that starts while the platform is "+c.name, t, func() {
				s := newSystem(t, 1, 0)
				g := s.addGateway(0)
				s.fault(c.fault)
				s.startGateway(g)
				s.wait("the start", func() bool { _, ok := g.logged("Started"); return ok })
				g.signal(syscall.SIGTERM)
				convey.So(g.waitEnd(stopTime), convey.ShouldBeNil)
			})
		})
	}
}
