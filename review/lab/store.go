package main

import (
	"cmp"
	"context"
	"io"
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
	contentType = "application/cbor"
	// pageSize is the largest number of objects in one response.
	pageSize = 500
	// maxWatch is the longest wait of a watch.
	maxWatch = 30 * time.Second
	// firstRevision is the revision of the store before its first change.
	firstRevision = 100
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `cbor:"metadata"`
	Spec     cbor.RawMessage `cbor:"spec"`
	Status   cbor.RawMessage `cbor:"status"`
}

// metadata identifies an object.
type metadata struct {
	Name              string   `cbor:"name"`
	Revision          int64    `cbor:"revision"`
	Created           int64    `cbor:"created"`
	Finalizers        []string `cbor:"finalizers"`
	DeletionRequested bool     `cbor:"deletion-requested"`
}

// change is one change of an object.
type change struct {
	Object  object `cbor:"object"`
	Deleted bool   `cbor:"deleted"`
	kind    string
}

// objectStore is a stand-in for the platform's store. It is linearizable and loses nothing.
type objectStore struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	log      []change
	changed  chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{revision: firstRevision, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes the spec of an object, whatever its revision.
func (s *objectStore) put(kind, name string, spec any) error {
	raw, err := cbor.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(kind, name, raw)
	return nil
}

// remove removes an object.
func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// store writes an object under the next revision. The caller holds mu.
func (s *objectStore) store(kind, name string, spec cbor.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, known := s.kinds[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.kinds[kind][name] = o
	s.record(change{Object: o, kind: kind})
	return o
}

// drop removes an object under the next revision. The caller holds mu.
func (s *objectStore) drop(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(change{Object: o, Deleted: true, kind: kind})
}

// record appends a change to the history and wakes the watches. The caller holds mu.
func (s *objectStore) record(c change) {
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveOne(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut, r.Method == http.MethodDelete:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// reply sends a body.
func reply(w http.ResponseWriter, status int, v any) {
	body, err := cbor.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *objectStore) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

// listPage is the response to a list call.
type listPage struct {
	Items []object `cbor:"items"`
	More  bool     `cbor:"has-more"`
	AsOf  int64    `cbor:"as-of"`
}

func (s *objectStore) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	page := listPage{Items: []object{}}
	s.mu.Lock()
	page.AsOf = s.revision
	for name, o := range s.kinds[kind] {
		if name > after {
			page.Items = append(page.Items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(page.Items) > pageSize {
		page.Items, page.More = page.Items[:pageSize], true
	}
	reply(w, http.StatusOK, page)
}

// watchEvents is the response to a watch.
type watchEvents struct {
	Events []change `cbor:"events"`
	AsOf   int64    `cbor:"as-of"`
}

func (s *objectStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	millis, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(millis)*time.Millisecond, maxWatch))
	defer cancel()
	for {
		events, changed := s.eventsAfter(kind, after)
		if len(events.Events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// eventsAfter returns the changes of a kind after a revision, and a channel that is closed at the next change.
func (s *objectStore) eventsAfter(kind string, after int64) (watchEvents, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := watchEvents{Events: []change{}, AsOf: s.revision}
	for _, c := range s.log {
		if c.kind == kind && c.Object.Metadata.Revision > after {
			events.Events = append(events.Events, c)
		}
	}
	return events, s.changed
}

func (s *objectStore) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	var o object
	if err == nil && r.Method != http.MethodDelete {
		err = cbor.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name = cmp.Or(name, o.Metadata.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, known)
	default:
		reply(w, http.StatusOK, s.store(kind, name, o.Spec))
	}
}
