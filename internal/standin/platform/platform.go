// Package platform is an in-memory test double of the hosting platform: an HTTP
// object store with versions, conditional writes and long-poll watches, and an
// eventually consistent list of VMs.
//
// # Usage
//
//	p := platform.New(platform.Config{Lag: 2 * time.Second})
//	http.ListenAndServe("127.0.0.1:7000", p.Handler())
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"mustardsaddle.example/mustardsaddle"
)

// maxValueBytes is the maximum size of a stored value.
const maxValueBytes = 1 << 20

// maxWait is the maximum duration of a watch request.
const maxWait = time.Minute

// Config configures a Platform.
type Config struct {
	// Lag is the delay before a change to a VM appears in the list of VMs.
	Lag time.Duration
}

// Platform is an HTTP service that keeps objects and VMs in memory. It is safe
// for concurrent use.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	objects  map[string]*object
	machines map[string]machineEntry
	counts   Counts
	fault    Fault
	limiter  *rate.Limiter
}

// Fault selects the failures to simulate. The zero value simulates none.
type Fault struct {
	// Down makes every store and list request fail with 503.
	Down bool
	// Delay is added to every store and list request.
	Delay time.Duration
	// LoseAnswers applies writes but closes the connection without a response.
	LoseAnswers bool
	// HoldWatches makes watches ignore changes, so that they last until their
	// wait time expires.
	HoldWatches bool
	// CallsPerSecond is the rate limit; requests above it get 429. 0 means no
	// limit.
	CallsPerSecond int
}

// Counts are the numbers of store and list requests received.
type Counts struct {
	// Reads, Watches and Writes count the requests of each kind, including
	// refused ones.
	Reads, Watches, Writes int64
	// Refused counts the requests refused by the rate limit.
	Refused int64
}

// object is a stored object with all its versions; version n is versions[n-1].
type object struct {
	versions [][]byte
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// machineEntry is a VM in the list. Its pending state replaces the visible one
// at pendingAt. A nil state means that the VM is not listed.
type machineEntry struct {
	visible   *mustardsaddle.Machine
	pending   *mustardsaddle.Machine
	pendingAt time.Time
}

// New returns a platform without objects or VMs.
func New(cfg Config) *Platform {
	return &Platform{
		cfg:      cfg,
		objects:  make(map[string]*object),
		machines: make(map[string]machineEntry),
	}
}

// SetFault replaces the simulated failures.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.limiter = nil
	if f.CallsPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(f.CallsPerSecond), f.CallsPerSecond)
	}
}

// Calls returns the total number of store and list requests received.
func (p *Platform) Calls() int64 {
	n := p.Counts()
	return n.Reads + n.Watches + n.Writes
}

// Counts returns the numbers of requests by kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// History returns all versions of an object, oldest first.
func (p *Platform) History(key string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.getOrCreateObject(key).versions)
}

// Handler returns the HTTP API of the platform, with the endpoints for changing
// VMs and simulated failures.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", p.putFault).Methods(http.MethodPut)
	r.HandleFunc("/machines/{name}", p.putMachine).Methods(http.MethodPut)
	r.HandleFunc("/machines/{name}", p.deleteMachine).Methods(http.MethodDelete)
	r.Handle("/machines", p.withFault(p.listMachines)).Methods(http.MethodGet)
	r.Handle("/objects", p.withFault(p.listObjects)).Methods(http.MethodGet)
	r.Handle("/objects/{key:.+}", p.withFault(p.getObject)).Methods(http.MethodGet)
	r.Handle("/objects/{key:.+}", p.withFault(p.putObject)).Methods(http.MethodPut)
	return r
}

// withFault counts requests to next and applies the rate limit and the Delay
// and Down faults to them.
func (p *Platform) withFault(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, allowed := p.countRequest(r)
		if !allowed {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		if f.Delay > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(f.Delay):
			}
		}
		if f.Down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	})
}

// countRequest counts a request. It returns the current fault and whether the
// rate limit admits the request.
func (p *Platform) countRequest(r *http.Request) (Fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		p.counts.Writes++
	case r.URL.Query().Has("after"):
		p.counts.Watches++
	default:
		p.counts.Reads++
	}
	if p.limiter != nil && !p.limiter.Allow() {
		p.counts.Refused++
		return p.fault, false
	}
	return p.fault, true
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	query := r.URL.Query()
	if text := query.Get("version"); text != "" {
		version, _ := strconv.ParseInt(text, 10, 64)
		p.writeObject(w, key, version)
		return
	}
	if text := query.Get("after"); text != "" {
		after, _ := strconv.ParseInt(text, 10, 64)
		wait, _ := time.ParseDuration(query.Get("wait"))
		if !p.waitForChange(r, key, after, min(wait, maxWait)) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	p.writeObject(w, key, 0)
}

// waitForChange blocks until the object is newer than the version after. It
// returns false if the wait time expires or the request is canceled first.
func (p *Platform) waitForChange(r *http.Request, key string, after int64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		o := p.getOrCreateObject(key)
		newer := int64(len(o.versions)) > after && !p.fault.HoldWatches
		changed := o.changed
		p.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// getOrCreateObject returns the object of a key, creating one without versions
// if needed. The caller holds mu.
func (p *Platform) getOrCreateObject(key string) *object {
	o := p.objects[key]
	if o == nil {
		o = &object{changed: make(chan struct{})}
		p.objects[key] = o
	}
	return o
}

// writeObject responds with a version of an object; version 0 is the newest.
func (p *Platform) writeObject(w http.ResponseWriter, key string, version int64) {
	p.mu.Lock()
	o := p.getOrCreateObject(key)
	if version == 0 {
		version = int64(len(o.versions))
	}
	if version < 1 || version > int64(len(o.versions)) {
		p.mu.Unlock()
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	value := o.versions[version-1]
	p.mu.Unlock()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := p.Put(mux.Vars(r)["key"], value, expectedVersion(r.Header))
	p.mu.Lock()
	lose := p.fault.LoseAnswers
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "version is not the newest", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
}

// expectedVersion returns the current version that a conditional write
// requires, 0 if the object must not exist, or -1 if the write is
// unconditional.
func expectedVersion(h http.Header) int64 {
	if h.Get("If-None-Match") == "*" {
		return 0
	}
	text, err := strconv.Unquote(h.Get("If-Match"))
	if err != nil {
		return -1
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return version
}

// Put writes a value if the current version is the given one; -1 writes
// unconditionally. It returns the new version and whether the value was
// written.
func (p *Platform) Put(key string, value []byte, version int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.getOrCreateObject(key)
	if version >= 0 && version != int64(len(o.versions)) {
		return 0, false
	}
	o.versions = append(o.versions, value)
	close(o.changed)
	o.changed = make(chan struct{})
	return int64(len(o.versions)), true
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	objects := []mustardsaddle.Object{}
	p.mu.Lock()
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) && len(o.versions) > 0 {
			objects = append(objects, mustardsaddle.Object{Key: key, Version: int64(len(o.versions))})
		}
	}
	p.mu.Unlock()
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	_ = json.NewEncoder(w).Encode(objects)
}

func (p *Platform) putMachine(w http.ResponseWriter, r *http.Request) {
	var m mustardsaddle.Machine
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.Name = mux.Vars(r)["name"]
	p.SetMachine(time.Now(), m)
}

func (p *Platform) deleteMachine(_ http.ResponseWriter, r *http.Request) {
	p.RemoveMachine(time.Now(), mux.Vars(r)["name"])
}

// SetMachine adds or updates a VM. The list shows the change after Lag.
func (p *Platform) SetMachine(now time.Time, m mustardsaddle.Machine) {
	p.scheduleChange(now, m.Name, &m)
}

// RemoveMachine removes a VM. The list drops it after Lag.
func (p *Platform) RemoveMachine(now time.Time, name string) {
	p.scheduleChange(now, name, nil)
}

// scheduleChange makes next the listed state of a VM once Lag has passed.
func (p *Platform) scheduleChange(now time.Time, name string, next *mustardsaddle.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[name] = machineEntry{visible: p.machines[name].stateAt(now), pending: next, pendingAt: now.Add(p.cfg.Lag)}
}

// stateAt returns the state of the VM that the list shows at the given time, or
// nil if the VM is not listed.
func (m machineEntry) stateAt(now time.Time) *mustardsaddle.Machine {
	if now.Before(m.pendingAt) {
		return m.visible
	}
	return m.pending
}

// listMachines responds with the VMs of a service, or with the gateway VMs if
// the service is empty.
func (p *Platform) listMachines(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	service := r.URL.Query().Get("service")
	machines := []mustardsaddle.Machine{}
	p.mu.Lock()
	for _, m := range p.machines {
		if state := m.stateAt(now); state != nil && state.Service == service {
			machines = append(machines, *state)
		}
	}
	p.mu.Unlock()
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	body, err := json.Marshal(machines)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body)
}
