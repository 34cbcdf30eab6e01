package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of an answer.
const (
	answerBytes = 600 << 10
	pieceBytes  = 20 << 10
	piecePause  = 40 * time.Millisecond
)

// unframedEvery is the number of answers of a spoiled upstream of which one has no length.
const unframedEvery = 20

// pieces sends answers in pieces. Of those of spoiled upstreams, one in unframedEvery has no
// length and ends with its connection.
type pieces struct {
	sent atomic.Int64
}

// answer returns the function that sends the answers of an upstream.
func (p *pieces) answer(spoiled bool) func(c *upstreamConn, r *http.Request) error {
	return func(c *upstreamConn, r *http.Request) error {
		id := r.Header.Get("Request-Id")
		fields := []string{"Request-Id", id, "Response-Signature", c.u.id + "." + id}
		withoutLength := spoiled && p.sent.Add(1)%unframedEvery == unframedEvery/2
		if withoutLength {
			c.u.b.note("%s answers %s without a length", c.u.id, id)
			fields = append(fields, "Connection", "close")
		} else {
			fields = append(fields, "Content-Length", strconv.Itoa(answerBytes))
		}
		var head bytes.Buffer
		c.writeHeader(&head, http.StatusOK, fields...)
		if _, err := c.Write(head.Bytes()); err != nil {
			return err
		}
		for range answerBytes / pieceBytes {
			if _, err := c.Write(bytes.Repeat([]byte("v"), pieceBytes)); err != nil {
				return err
			}
			time.Sleep(piecePause)
		}
		if withoutLength {
			return io.EOF
		}
		return nil
	}
}

// download is what a client has got of an answer.
type download struct {
	id     string
	status int
	signed bool
	length int64
	bytes  int64
	err    error
}

// complete reports whether the answer looks complete to its client.
func (d download) complete() bool {
	return d.err == nil && d.status == http.StatusOK && d.signed
}

// killedMidway: a few answers of upstreams have no length. Each gateway is killed once while
// it passes on answers. Do those that end early look complete to the clients?
func killedMidway(b *bench) (bool, error) {
	const (
		upstreams  = 24
		downloads  = 40
		killAfter  = 600 * time.Millisecond
		roundPause = 4 * time.Second
	)
	runs, p := newRuns(), &pieces{}
	for i := range upstreams {
		cfg := upstreamConfig{service: desk, slots: 2, queue: 2, work: 40 * time.Millisecond, tellsLoad: true, answer: p.answer(i%2 == 0)}
		if _, err := b.startUpstream(cfg, runs); err != nil {
			return false, err
		}
	}
	b.store.putConfig(config{version: 7, services: []string{desk}, routes: map[string]any{
		"r-plans": route("/pule252/", "download", "4000ms"),
	}})
	if err := b.startGateways(3); err != nil {
		return false, err
	}
	short, whole := 0, 0
	for _, g := range b.gateways {
		results := make([]download, downloads)
		var wg sync.WaitGroup
		for i := range downloads {
			wg.Go(func() { results[i] = fetch(g.front) })
		}
		if b.trouble {
			time.Sleep(killAfter)
			b.note("SIGKILL to %s", g.name)
			_ = g.process.Signal(syscall.SIGKILL)
		}
		wg.Wait()
		for _, d := range results {
			b.note("answer to %s: status %d, signature %v, length %d, %d of %d bytes, error %v", d.id, d.status, d.signed, d.length, d.bytes, answerBytes, d.err)
			switch {
			case d.complete() && d.bytes < answerBytes:
				short++
				b.note("MIXED: the answer to %s ends early and looks complete", d.id)
			case d.complete():
				whole++
			}
		}
		time.Sleep(roundPause)
	}
	b.note("answers that look complete and are not: %d; that are complete: %d; of %d", short, whole, downloads*len(b.gateways))
	if !b.trouble && whole == 0 {
		return false, fmt.Errorf("no answer was complete without the disruption")
	}
	return short > 0, nil
}

// fetch downloads an answer as a client does, and reads it to its end.
func fetch(gateway string) download {
	d := download{id: newID()}
	conn, err := dial(gateway)
	if err != nil {
		d.err = err
		return d
	}
	defer func() { _ = conn.Close() }()
	_, d.err = fmt.Fprintf(conn, "GET /pule252/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", host, d.id)
	if d.err != nil {
		return d
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.err = err
		return d
	}
	defer func() { _ = resp.Body.Close() }()
	d.status, d.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	d.length = resp.ContentLength
	d.bytes, d.err = io.Copy(io.Discard, resp.Body)
	return d
}
