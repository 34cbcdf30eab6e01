package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"sync"
	"time"
)

// recordFile is the name of the record in the folder of a case.
const recordFile = "record.txt"

// record is the file that shows what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	began time.Time

	mu  sync.Mutex
	out *os.File
	w   *bufio.Writer
	// ran holds the names of the upstreams that ran each request.
	ran map[string]map[string]bool
}

func newRecord(folder *os.Root) (*record, error) {
	f, err := folder.Create(recordFile)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: f, w: bufio.NewWriter(f), ran: make(map[string]map[string]bool)}, nil
}

// add adds a line with the time since the start, the kind of the event and its details.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%9.3f %-8s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.out.Close()
}

// addRun records that an upstream began to run a request.
func (r *record) addRun(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ran[id] == nil {
		r.ran[id] = make(map[string]bool)
	}
	r.ran[id][upstream] = true
}

// upstreamsOf returns the upstreams that ran each request.
func (r *record) upstreamsOf() map[string]map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.ran)
}
