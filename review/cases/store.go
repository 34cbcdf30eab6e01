package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	objectsPath = "/api/objects/"
	// maxPage is the number of objects in a page, and maxPageBytes its size.
	maxPage      = 500
	maxPageBytes = 1 << 20
	// valueBytes is the maximum size of an object.
	valueBytes = 1 << 20
	// firstRevision is the revision before the first change.
	firstRevision = 17
	kindServers   = "servers"
	kindConfig    = "config"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	ln      net.Listener
	server  *http.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]cbor.RawMessage
	events   []storeEvent
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// storeEvent is one change of an object.
type storeEvent struct {
	kind     string
	revision int64
	object   cbor.RawMessage
	deleted  bool
}

type storeMetadata struct {
	Name              string   `cbor:"name"`
	Revision          int64    `cbor:"revision"`
	Created           int64    `cbor:"created"`
	Finalizers        []string `cbor:"finalizers"`
	DeletionRequested bool     `cbor:"deletion-requested"`
}

type storeObject struct {
	Metadata storeMetadata   `cbor:"metadata"`
	Spec     cbor.RawMessage `cbor:"spec"`
	Status   any             `cbor:"status"`
}

func newStore() (*store, error) {
	ln, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), ln: ln, revision: firstRevision,
		objects: make(map[string]map[string]cbor.RawMessage), changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}

// put creates or replaces an object. It returns the size of the object, and false if it is
// larger than a value may be.
func (s *store) put(kind, name string, spec any) (size int, ok bool) {
	raw, err := cbor.Marshal(spec)
	if err != nil {
		return 0, false
	}
	return s.putRaw(kind, name, raw)
}

func (s *store) putRaw(kind, name string, spec cbor.RawMessage) (size int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision + 1, Created: s.revision + 1}, Spec: spec}
	raw, err := cbor.Marshal(o)
	if err != nil || len(raw) > valueBytes {
		return len(raw), false
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]cbor.RawMessage)
	}
	s.objects[kind][name] = raw
	s.change(storeEvent{kind: kind, object: raw})
	return len(raw), true
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.change(storeEvent{kind: kind, object: old, deleted: true})
	}
}

// change records a change. The caller holds mu.
func (s *store) change(e storeEvent) {
	s.revision++
	e.revision = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls that the gateways make.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case !ok || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, size, more := []cbor.RawMessage{}, 0, false
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		raw := s.objects[kind][name]
		if len(items) > 0 && (len(items) >= maxPage || size+len(raw) > maxPageBytes) {
			more = true
			break
		}
		items, size = append(items, raw), size+len(raw)
	}
	respond(w, map[string]any{"items": items, "has-more": more, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		events, revision, changed := s.since(kind, from)
		if len(events) > 0 || ctx.Err() != nil {
			respond(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the changes of a kind after a revision, the newest revision, and a channel
// that is closed at the next change.
func (s *store) since(kind string, from int64) (events []map[string]any, revision int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []map[string]any{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, _ := io.ReadAll(r.Body)
	var o struct {
		Metadata struct {
			Name string `cbor:"name"`
		} `cbor:"metadata"`
		Spec cbor.RawMessage `cbor:"spec"`
	}
	if cbor.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	known := s.has(kind, o.Metadata.Name)
	switch {
	case r.Method == http.MethodPost && known:
		w.WriteHeader(http.StatusConflict)
	case r.Method == http.MethodPut && (!known || name != o.Metadata.Name):
		w.WriteHeader(http.StatusNotFound)
	default:
		s.putRaw(kind, o.Metadata.Name, o.Spec)
		respond(w, map[string]any{})
	}
}

func (s *store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

func respond(w http.ResponseWriter, body map[string]any) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = io.Copy(w, bytes.NewReader(raw))
}

// config is the operator's configuration.
type config struct {
	version int
	routes  map[string]any
	// services lists the names of the services.
	services []string
}

// route returns a route of host to desk, with the fields of the users' pages.
func route(prefix, kind, timeout string) map[string]any {
	return map[string]any{
		"host": host, "path-prefix": prefix, "kind": kind, "timeout": timeout, "target-latency": "300ms",
		"priority": 2, "service": desk, "max-attempts": 2,
	}
}

// putConfig writes a configuration as the operator does. It returns its size.
func (s *store) putConfig(c config) (size int, ok bool) {
	services := make(map[string]any)
	for _, name := range c.services {
		services[name] = map[string]any{"health-path": healthPath, "max-connections": maxConnections, "protocol": "h1", "tls": false}
	}
	version := strconv.FormatInt(int64(c.version), 16)
	return s.put(kindConfig, "main", map[string]any{
		"version": strings.Repeat("0", 8-len(version)) + version, "routes": c.routes, "services": services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms",
		},
	})
}

// text returns a value as JSON for the record.
func text(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
