// Package server is a test double of an endpoint server: an HTTP server with a
// fixed number of request slots, a load report in each response, draining, load
// shedding and cold starts. It counts executions by attempt ID, so that tests
// can check at-most-once execution.
//
// # Usage
//
//	s := server.New(server.Config{Name: "booking-01", Slots: 2, Work: 10 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:7101", s.Handler())
package server

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// coldStartFactor multiplies service times during a cold start.
const coldStartFactor = 3

// Config configures a Server.
type Config struct {
	// Name identifies the server in responses and records.
	Name string
	// Slots is the maximum number of requests that run at a time.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; more are
	// shed.
	Queue int
	// Work is the mean service time of a request. A request overrides it with
	// the Work query parameter.
	Work time.Duration
	// ColdStart is the length of the cold start, during which service times are
	// longer.
	ColdStart time.Duration
	// NoisyNeighbor is another tenant of the same host.
	NoisyNeighbor NoisyNeighbor
	// Seed seeds the random service times and the busy periods of the noisy
	// neighbor.
	Seed uint64
	// Record, if not nil, receives an Execution as a line of JSON before each
	// execution begins, so that executions are known even if the process is
	// killed.
	Record io.Writer
}

// Mode is the behavior of the server that can be changed while it runs.
type Mode struct {
	// Draining makes the server refuse new requests and report that it is
	// draining.
	Draining bool
	// Factor multiplies service times; 0 means 1.
	Factor float64
	// FailFast makes the server respond to requests with 500 without doing any
	// work.
	FailFast bool
	// Limit, if not nil, is the number of requests per second that the server states
	// in each response as its limit. The server does not enforce it.
	Limit *float64
	// Leaving makes the server state in each response that it is leaving. It still
	// executes requests.
	Leaving bool
	// WarmAt is the time until which the server states in each response that it is warming
	// up. It serves as usual meanwhile.
	WarmAt time.Time
	// RefuseShare is the share of the requests that the server refuses, at random, with a
	// response that says that they have not run.
	RefuseShare float64
	// RetryAfter, if not empty, makes the server refuse requests with status 503 and
	// this Retry-After.
	RetryAfter string
	// ReportInFlight, if not nil, replaces the reported number of requests in
	// flight.
	ReportInFlight *int
	// ReportEvery is the time for which the reported load is cached; 0 disables
	// the cache.
	ReportEvery time.Duration
}

// Server is a simulated endpoint server. It is safe for concurrent use.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu        sync.Mutex
	startedAt time.Time
	neighbor  neighborState
	// reportedLoad is the load read last, at reportedAt.
	reportedLoad int
	reportedAt   time.Time
	rng          *rand.Rand
	mode         Mode
	inFlight     int
	runs         map[string]int
	total        int64
	probes       int64
	shed         int64
}

// New returns a server whose cold start begins now.
func New(cfg Config) *Server {
	return &Server{
		cfg:       cfg,
		slots:     make(chan struct{}, cfg.Slots),
		startedAt: time.Now(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		neighbor:  newNeighborState(cfg.NoisyNeighbor, cfg.Seed),
		runs:      make(map[string]int),
	}
}

// BeginColdStart begins a new cold start of the given length.
func (s *Server) BeginColdStart(coldStart time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ColdStart = coldStart
	s.startedAt = time.Now()
}

// SetMode replaces the mode.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Handler returns the HTTP API of the server. Requests to any path other than
// /load, /mode and /count are executed as work.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/load", s.handleProbe)
	r.HandleFunc("/mode", s.putMode).Methods(http.MethodPut)
	r.HandleFunc("/count", s.handleCount)
	r.PathPrefix("/").HandlerFunc(s.handleWork)
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

// handleProbe responds to a probe or a load query.
func (s *Server) handleProbe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	s.setReportHeader(w.Header())
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// handleWork executes a request, or sheds it if the queue is full or the server
// is draining.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(header.Attempt)
	if !s.admit() {
		s.recordRefusal(time.Now(), id, r.Header.Get(RequestHeader))
		s.setReportHeader(w.Header())
		w.Header().Set(NotRunHeader, "1")
		if retryAfter := s.retryAfter(); retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	fail, err := s.recordExecution(time.Now(), id, r.Header.Get(RequestHeader))
	if err != nil {
		w.Header().Set(NotRunHeader, "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(header.Attempt, id)
	w.Header().Set("Endpoint-Server", s.cfg.Name)
	if fail {
		s.setReportHeader(w.Header())
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !s.simulateWork(r) {
		return
	}
	s.writeResponse(w, r)
}

// admit counts a request as in flight, or returns false if it must be shed.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Draining || s.mode.RetryAfter != "" || s.inFlight >= s.cfg.Slots+s.cfg.Queue || s.mode.RefuseShare > 0 && s.rng.Float64() < s.mode.RefuseShare {
		s.shed++
		return false
	}
	s.inFlight++
	return true
}

// retryAfter returns the Retry-After of a refused request.
func (s *Server) retryAfter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode.RetryAfter
}

// release undoes admit when the request has ended.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// simulateWork sleeps for the service time. It returns false if the request is
// canceled first.
func (s *Server) simulateWork(r *http.Request) bool {
	timer := time.NewTimer(s.workDuration(time.Now(), r.URL.Query().Get("Work")))
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// workDuration returns the service time of a request that begins now: the Work
// parameter of the request if it is valid, or else a random time, multiplied by
// the factors that slow the server down.
func (s *Server) workDuration(now time.Time, stated string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := time.ParseDuration(stated)
	if err != nil {
		d = time.Duration(s.rng.ExpFloat64() * float64(s.cfg.Work))
	}
	factor := s.neighbor.factor(now)
	if s.mode.Factor > 0 {
		factor *= s.mode.Factor
	}
	if now.Sub(s.startedAt) < s.cfg.ColdStart {
		factor *= coldStartFactor
	}
	return time.Duration(float64(d) * factor)
}
