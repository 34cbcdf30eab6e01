package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of an upload, and of the machine's freeze.
const (
	uploadBytes = 160 << 10
	uploadPiece = 8 << 10
	uploadPause = 35 * time.Millisecond
	freeze      = 2 * time.Second
)

// exchange is an upload and a booking that follows it on the same connection.
type exchange struct {
	upload, booking             string
	uploadStatus, bookingStatus int
	err                         error
}

// bodyLeftOver: clients send uploads to a path that has no route, read the 404, send the body
// to its end, and go on with a booking on the same connection. Meanwhile the machine of one
// gateway after the other stands still. How are the bookings answered?
func bodyLeftOver(b *bench) (bool, error) {
	const (
		loops  = 12
		rounds = 14
		calm   = 1500 * time.Millisecond
	)
	runs := newRuns()
	for range 4 {
		cfg := upstreamConfig{service: desk, slots: 3, queue: 2, work: 40 * time.Millisecond, tellsLoad: true}
		if _, err := b.startUpstream(cfg, runs); err != nil {
			return false, err
		}
	}
	b.store.putConfig(config{version: 7, services: []string{desk}, routes: map[string]any{
		"r-books": route("/pufi791/", "unsafe", "1500ms"),
	}})
	if err := b.startGateways(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []exchange
	var wg sync.WaitGroup
	for i := range loops {
		wg.Go(func() {
			for range rounds {
				e := uploadAndBook(b.gateways[i%len(b.gateways)].front)
				mu.Lock()
				all = append(all, e)
				mu.Unlock()
			}
		})
	}
	for _, g := range b.gateways {
		time.Sleep(calm)
		if b.trouble {
			b.freeze(g)
		}
	}
	wg.Wait()
	foreign := 0
	for _, e := range all {
		b.note("upload %s: %d; then booking %s on the same connection: %d, ran at %v, error %v",
			e.upload, e.uploadStatus, e.booking, e.bookingStatus, runs.of(e.booking), e.err)
		if e.bookingStatus == http.StatusBadRequest {
			foreign++
			b.note("MIXED: booking %s got the answer to a part of the body of upload %s", e.booking, e.upload)
		}
	}
	for _, g := range b.gateways {
		for _, line := range b.log(g, `"Status":"HTTP/1.1 400 Bad Request"`) {
			b.note("log of %s: %s", g.name, line)
		}
	}
	b.note("bookings that got an answer that belongs to the body of an upload: %d of %d", foreign, len(all))
	return foreign > 0, nil
}

// freeze makes the machine of a gateway stand still.
func (b *bench) freeze(g *gatewayProcess) {
	b.note("%s stands still for %v", g.name, freeze)
	_ = g.process.Signal(syscall.SIGSTOP)
	time.Sleep(freeze)
	_ = g.process.Signal(syscall.SIGCONT)
}

// uploadAndBook sends a whole upload, reads its answer, and sends a booking on the same
// connection.
func uploadAndBook(gateway string) exchange {
	e := exchange{upload: newID(), booking: newID()}
	conn, err := dial(gateway)
	if err != nil {
		e.err = err
		return e
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	br := bufio.NewReader(conn)
	answered := make(chan error, 1)
	go func() {
		var err error
		e.uploadStatus, err = readAnswer(br)
		answered <- err
	}()
	if e.err = sendUpload(conn, e.upload); e.err != nil {
		return e
	}
	if e.err = <-answered; e.err != nil {
		return e
	}
	body := `{"lathe": 2}`
	_, e.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		bookingPath, host, e.booking, len(body), body)
	if e.err == nil {
		e.bookingStatus, e.err = readAnswer(br)
	}
	return e
}

// sendUpload sends an upload in pieces.
func sendUpload(conn net.Conn, id string) error {
	_, err := fmt.Fprintf(conn, "POST /verge11/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", host, id, uploadBytes)
	for range uploadBytes / uploadPiece {
		if err != nil {
			return err
		}
		_, err = conn.Write(bytes.Repeat([]byte("photo 7\n"), uploadPiece/8))
		time.Sleep(uploadPause)
	}
	return err
}

// readAnswer reads an answer to its end, and returns its status.
func readAnswer(br *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
