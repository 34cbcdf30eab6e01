// Package server is a small stand-in for an endpoint server: a fixed number of
// slots, a load report on each answer, draining, shedding and cold starts. It
// counts executions by attempt, which makes it the judge of at-most-once tests.
//
// # Usage
//
//	s := server.New(server.Config{Name: "booking-01", Slots: 2, Work: 10 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:7101", s.Handler())
package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle/internal/choice/report"
)

const (
	// AttemptHeader carries the attempt's id; the server echoes it.
	AttemptHeader = "Mustardsaddle-Attempt"
	// NotRunHeader declares that the server did not run the request.
	NotRunHeader = "Endpoint-Not-Run"
)

// Config configures a Server.
type Config struct {
	// Name identifies the server.
	Name string
	// Slots is how many requests run at a time.
	Slots int
	// Queue is how many more requests wait; the rest are shed.
	Queue int
	// Work is the mean time that a request takes.
	Work time.Duration
	// Cold is how long the server is slow after its start.
	Cold time.Duration
	// Seed seeds the spread of working times.
	Seed uint64
}

// Mode changes how the server behaves while it runs.
type Mode struct {
	// Draining makes the server refuse new requests and say so in its reports.
	Draining bool
	// Factor multiplies working times; 0 means 1.
	Factor float64
	// FailFast answers every request with 500 at once.
	FailFast bool
	// ReportInFlight, if positive or zero, replaces the reported load.
	ReportInFlight *int
}

// Server is a stand-in endpoint server.
type Server struct {
	cfg   Config
	slots chan struct{}
	start time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	mode     Mode
	inFlight int
	runs     map[string]int
	total    int64
	probes   int64
	shed     int64
}

// New returns a server whose cold start begins now.
func New(cfg Config) *Server {
	return &Server{
		cfg:   cfg,
		slots: make(chan struct{}, cfg.Slots),
		start: time.Now(),
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		runs:  make(map[string]int),
	}
}

// SetMode replaces the mode.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Handler returns the server's HTTP interface. Every path but /load, /mode and
// /count is a unit of work.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/load", s.probe)
	r.HandleFunc("/mode", s.putMode).Methods(http.MethodPut)
	r.HandleFunc("/count", s.count)
	r.PathPrefix("/").HandlerFunc(s.work)
	return r
}

func (s *Server) putMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetMode(m)
}

func (s *Server) probe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	s.report(w.Header())
}

// Count is what the server has counted.
type Count struct {
	// Runs is the number of executions by attempt id.
	Runs map[string]int
	// Total is the number of executions.
	Total int64
	// Probes is the number of load probes answered.
	Probes int64
	// Shed is the number of requests refused for load or draining.
	Shed int64
}

// Count returns a copy of the counts.
func (s *Server) Count() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Count{Runs: make(map[string]int, len(s.runs)), Total: s.total, Probes: s.probes, Shed: s.shed}
	for id, n := range s.runs {
		c.Runs[id] = n
	}
	return c
}

func (s *Server) count(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Count())
}

// report writes the load report header.
func (s *Server) report(h http.Header) {
	s.mu.Lock()
	inFlight, draining := s.inFlight, s.mode.Draining
	if s.mode.ReportInFlight != nil {
		inFlight = *s.mode.ReportInFlight
	}
	s.mu.Unlock()
	h.Set(report.Header, report.Format(inFlight, s.cfg.Slots, draining))
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		s.report(w.Header())
		w.Header().Set(NotRunHeader, "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	id := r.Header.Get(AttemptHeader)
	fail := s.run(id)
	w.Header().Set(AttemptHeader, id)
	w.Header().Set("Endpoint-Server", s.cfg.Name)
	if fail {
		s.report(w.Header())
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !s.sleep(r.Context()) {
		return
	}
	s.answer(w, r)
}

// enter counts a request in, or refuses it.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Draining || s.inFlight >= s.cfg.Slots+s.cfg.Queue {
		s.shed++
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// run counts an execution and tells whether it fails at once.
func (s *Server) run(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[id]++
	return s.mode.FailFast
}

// sleep takes the working time, and returns false if the request was canceled.
func (s *Server) sleep(ctx context.Context) bool {
	s.mu.Lock()
	d := time.Duration(s.rng.ExpFloat64() * float64(s.cfg.Work))
	if s.mode.Factor > 0 {
		d = time.Duration(float64(d) * s.mode.Factor)
	}
	s.mu.Unlock()
	if time.Since(s.start) < s.cfg.Cold {
		d *= 3
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// answer echoes the body, or sends as many bytes as the Size parameter asks.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	s.report(w.Header())
	if text := r.URL.Query().Get("Size"); text != "" {
		size, _ := strconv.ParseInt(text, 10, 64)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.CopyN(w, zeros{}, size)
		return
	}
	if r.ContentLength != 0 {
		_, _ = io.Copy(w, r.Body)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s from %s\n", r.Method, r.URL.Path, s.cfg.Name)
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
