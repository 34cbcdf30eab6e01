package server

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Execution records that a server began to run a request, or refused it.
type Execution struct {
	// Server is the name of the server.
	Server string
	// Request is the caller's request ID, and Attempt the gateway's attempt ID.
	Request, Attempt string
	// At is when the execution began, or when the request was refused.
	At time.Time
	// Refused is true if the server has not run the request.
	Refused bool
}

// Count holds the counters of a server.
type Count struct {
	// Runs is the number of executions by attempt ID.
	Runs map[string]int
	// Total is the number of executions.
	Total int64
	// Probes is the number of probes and load queries answered.
	Probes int64
	// Shed is the number of requests refused because of load or draining.
	Shed int64
}

// Count returns a copy of the counters.
func (s *Server) Count() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Count{Runs: make(map[string]int, len(s.runs)), Total: s.total, Probes: s.probes, Shed: s.shed}
	for id, n := range s.runs {
		c.Runs[id] = n
	}
	return c
}

func (s *Server) handleCount(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Count())
}

// recordExecution records and counts an execution, and reports whether it must
// fail immediately. After an error the request must not be run.
func (s *Server) recordExecution(now time.Time, attempt, request string) (fail bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.record(Execution{Server: s.cfg.Name, Request: request, Attempt: attempt, At: now}); err != nil {
		return false, err
	}
	s.total++
	s.runs[attempt]++
	return s.mode.FailFast, nil
}

// recordRefusal records a request that was refused. Its caller is refused all the same if
// the record cannot be written.
func (s *Server) recordRefusal(now time.Time, attempt, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record(Execution{Server: s.cfg.Name, Request: request, Attempt: attempt, At: now, Refused: true})
}

// record writes a line to the record, if there is one. The caller holds mu.
func (s *Server) record(e Execution) error {
	if s.cfg.Record == nil {
		return nil
	}
	return errors.Annotatef(json.NewEncoder(s.cfg.Record).Encode(e), "record attempt %s", e.Attempt)
}
