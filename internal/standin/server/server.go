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
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

const (
	// NotRunHeader declares that the server did not run the request.
	NotRunHeader = "Endpoint-Not-Run"
	// RequestHeader names a caller's request.
	RequestHeader = "Request-ID"
)

// coldFactor multiplies working times during a cold start.
const coldFactor = 3

// Config configures a Server.
type Config struct {
	// Name identifies the server.
	Name string
	// Slots is how many requests run at a time.
	Slots int
	// Queue is how many more requests wait; the rest are shed.
	Queue int
	// Work is the mean time that a request takes. A request may state its own
	// time in the Work query parameter.
	Work time.Duration
	// Cold is how long the server is slow after its start.
	Cold time.Duration
	// Neighbour is a noisy neighbour that slows the server down now and then.
	Neighbour Neighbour
	// Seed seeds the spread of working times.
	Seed uint64
	// Record, if set, receives a line of JSON with an Execution before each one
	// begins, so that it is known even if the process is killed at once.
	Record io.Writer
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
	// ReportEvery, if set, is how long a report is repeated before the load is
	// read anew.
	ReportEvery time.Duration
}

// Server is a stand-in endpoint server.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu       sync.Mutex
	start    time.Time
	noise    noise
	read     int
	readAt   time.Time
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
		noise: newNoise(cfg.Neighbour, cfg.Seed),
		runs:  make(map[string]int),
	}
}

// Restart begins a cold start of the given length.
func (s *Server) Restart(cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Cold = cold
	s.start = time.Now()
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

// Execution is one time that a server began to run a request.
type Execution struct {
	// Server is the name of the server.
	Server string
	// Request is the caller's name of the request, and Attempt the gateway's name
	// of the attempt.
	Request, Attempt string
	// At is when it began.
	At time.Time
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
	inFlight, draining := s.readLoad(time.Now()), s.mode.Draining
	s.mu.Unlock()
	h.Set(report.Header, report.Format(inFlight, s.cfg.Slots, draining))
}

// readLoad returns the load to report. The caller holds mu.
func (s *Server) readLoad(now time.Time) int {
	if s.mode.ReportInFlight != nil {
		return *s.mode.ReportInFlight
	}
	if now.Sub(s.readAt) >= s.mode.ReportEvery {
		s.read, s.readAt = s.inFlight, now
	}
	return s.read
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
	id := r.Header.Get(header.Attempt)
	fail, err := s.run(time.Now(), id, r.Header.Get(RequestHeader))
	if err != nil {
		w.Header().Set(NotRunHeader, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(header.Attempt, id)
	w.Header().Set("Endpoint-Server", s.cfg.Name)
	if fail {
		s.report(w.Header())
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !s.sleep(r) {
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

// run records and counts an execution, and tells whether it fails at once. One
// that cannot be recorded does not happen.
func (s *Server) run(now time.Time, attempt, request string) (fail bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Record != nil {
		line := Execution{Server: s.cfg.Name, Request: request, Attempt: attempt, At: now}
		if err := json.NewEncoder(s.cfg.Record).Encode(line); err != nil {
			return false, errors.Annotatef(err, "record attempt %s", attempt)
		}
	}
	s.total++
	s.runs[attempt]++
	return s.mode.FailFast, nil
}

// sleep takes the working time, and returns false if the request was canceled.
func (s *Server) sleep(r *http.Request) bool {
	timer := time.NewTimer(s.duration(time.Now(), r.URL.Query().Get("Work")))
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// duration returns the working time of a request that begins now and states
// the given time, if any.
func (s *Server) duration(now time.Time, stated string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := time.ParseDuration(stated)
	if err != nil {
		d = time.Duration(s.rng.ExpFloat64() * float64(s.cfg.Work))
	}
	factor := s.noise.factor(now)
	if s.mode.Factor > 0 {
		factor *= s.mode.Factor
	}
	if now.Sub(s.start) < s.cfg.Cold {
		factor *= coldFactor
	}
	return time.Duration(float64(d) * factor)
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
		echo(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s from %s\n", r.Method, r.URL.Path, s.cfg.Name)
}

// echo sends the body back while it arrives. An echo that cannot be whole is cut.
func echo(w http.ResponseWriter, r *http.Request) {
	// Without full duplex, net/http drops what is left of the body when the answer
	// begins. HTTP/2 always has it and says that it cannot be enabled.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if _, err := io.Copy(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
