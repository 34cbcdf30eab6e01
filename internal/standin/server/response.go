package server

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

const (
	// NotRunHeader is the response header by which the server declares that it
	// did not run the request.
	NotRunHeader = "Endpoint-Not-Run"
	// RequestHeader is the request header with the caller's request ID.
	RequestHeader = "Request-ID"
)

// setReportHeader sets the headers with the load report and what the server states.
func (s *Server) setReportHeader(h http.Header) {
	s.mu.Lock()
	inFlight, mode := s.loadToReport(time.Now()), s.mode
	s.mu.Unlock()
	if mode.Limit != nil {
		h.Set(statement.LimitHeader, strconv.FormatFloat(*mode.Limit, 'f', -1, 64))
	}
	if left := time.Until(mode.WarmAt); left > 0 {
		h.Set(statement.WarmUpHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if mode.Leaving {
		h.Set(statement.LeavingHeader, "1")
	}
	h.Set(report.Header, report.Format(inFlight, s.cfg.Slots, mode.Draining))
}

// loadToReport returns the number of requests in flight to report. The caller
// holds mu.
func (s *Server) loadToReport(now time.Time) int {
	if s.mode.ReportInFlight != nil {
		return *s.mode.ReportInFlight
	}
	if now.Sub(s.reportedAt) >= s.mode.ReportEvery {
		s.reportedLoad, s.reportedAt = s.inFlight, now
	}
	return s.reportedLoad
}

// writeResponse sends the number of bytes given by the Size parameter, echoes
// the request body, or sends a line about the request if it has no body. With the parameter
// Framing=Close the bytes are sent slowly and without a length.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request) {
	s.setReportHeader(w.Header())
	if text := r.URL.Query().Get("Size"); text != "" {
		size, _ := strconv.ParseInt(text, 10, 64)
		if r.URL.Query().Get("Framing") == "Close" {
			writeUntilClose(w, size)
			return
		}
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.CopyN(w, zeroReader{}, size)
		return
	}
	if r.ContentLength != 0 {
		echo(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s from %s\n", r.Method, r.URL.Path, s.cfg.Name)
}

const (
	// slowPieces is the number of pieces of a slow response, and slowPause the time between two.
	slowPieces = 20
	slowPause  = 30 * time.Millisecond
)

// writeUntilClose sends a response whose end only the close of its connection marks, in pieces.
func writeUntilClose(w http.ResponseWriter, size int64) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(c)
	_, _ = io.WriteString(c, "Connection: close\r\n\r\n")
	for i := range int64(slowPieces) {
		n := size*(i+1)/slowPieces - size*i/slowPieces
		if _, err := io.CopyN(c, zeroReader{}, n); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}

// echo streams the request body back. If the body cannot be read to its end,
// the response is aborted.
func echo(w http.ResponseWriter, r *http.Request) {
	// Without full duplex, net/http discards the rest of the request body once the
	// response begins. HTTP/2 is always full duplex and returns an error here.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if _, err := io.Copy(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// zeroReader is an infinite reader of zero bytes.
type zeroReader struct{}

// Read fills p with zeros.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
