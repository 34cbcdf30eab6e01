package main

import (
	"cmp"
	"context"
	"errors"
	"io"
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
	// objectsPath is the path prefix of the objects of the store.
	objectsPath = "/api/objects/"
	// maxObjectBytes bounds the size of an object that is written.
	maxObjectBytes = 1 << 20
)

// storedObject is one object of the store.
type storedObject struct {
	Metadata objectMetadata  `cbor:"metadata"`
	Spec     cbor.RawMessage `cbor:"spec"`
}

// objectMetadata identifies a version of an object.
type objectMetadata struct {
	Name     string `cbor:"name"`
	Revision int64  `cbor:"revision"`
	Created  int64  `cbor:"created"`
}

// storedEvent is a change of an object.
type storedEvent struct {
	Object  storedObject `cbor:"object"`
	Deleted bool         `cbor:"deleted"`
	kind    string
}

// objectStore is a stand-in for the platform's store of objects: lists, watches and
// conditional writes of whole objects. It is safe for concurrent use.
type objectStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storedObject
	log      []storedEvent
	changed  chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{revision: 1, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
}

// put writes an object as an operator or an endpoint server does.
func (s *objectStore) put(kind, name string, spec any) error {
	raw, err := cbor.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
	return nil
}

// write replaces an object. The caller holds mu.
func (s *objectStore) write(kind, name string, spec cbor.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.revision++
	known, exists := s.objects[kind][name]
	o := storedObject{Metadata: objectMetadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if exists {
		o.Metadata.Created = known.Metadata.Created
	}
	s.objects[kind][name] = o
	s.record(storedEvent{Object: o, kind: kind})
	return o
}

// remove deletes an object, if it exists.
func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	known.Metadata.Revision = s.revision
	s.record(storedEvent{Object: known, Deleted: true, kind: kind})
}

// record appends an event and wakes the watches. The caller holds mu.
func (s *objectStore) record(e storedEvent) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves a call of a gateway.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch r.Method {
	case http.MethodGet:
		if watch := r.URL.Query().Get("watch"); watch != "" {
			s.serveWatch(w, r, kind, watch)
			return
		}
		s.serveList(w, kind)
	case http.MethodPost, http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *objectStore) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]storedObject, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": asOf})
}

// serveWatch waits for events of a kind after a revision.
func (s *objectStore) serveWatch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	after, err := strconv.ParseInt(watch, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, asOf, changed := s.eventsAfter(kind, after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []storedEvent{}, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events of a kind after a revision, the revision of the store, and a
// channel that is closed at the next write.
func (s *objectStore) eventsAfter(kind string, after int64) (events []storedEvent, asOf int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.log {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *objectStore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	var o storedObject
	if err == nil {
		err = cbor.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name = cmp.Or(name, o.Metadata.Name)
	s.mu.Lock()
	known, exists := s.objects[kind][name]
	conflict := exists && r.Method == http.MethodPost
	if !conflict {
		known = s.write(kind, name, o.Spec)
	}
	s.mu.Unlock()
	if conflict {
		reply(w, http.StatusConflict, known)
		return
	}
	reply(w, http.StatusOK, known)
}

// reply sends a body in CBOR.
func reply(w http.ResponseWriter, status int, body any) {
	b, err := cbor.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// listen opens a listener on a free port of the loopback interface.
func listen(ctx context.Context) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
}

// serveHTTP serves a handler until the context ends, and returns its address.
func serveHTTP(ctx context.Context, srv *http.Server) (string, error) {
	ln, err := listen(ctx)
	if err != nil {
		return "", err
	}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}
