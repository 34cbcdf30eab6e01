// Package platform is a small stand-in for the users' platform: an object store
// with versions, conditional updates and watches, and a lagging list of VMs.
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

// maxValueBytes is the largest value that the store accepts.
const maxValueBytes = 1 << 20

// maxWait bounds a watch.
const maxWait = time.Minute

// Config configures a Platform.
type Config struct {
	// Lag is how late the list of VMs shows a change.
	Lag time.Duration
}

// Platform keeps objects and VMs in memory.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	objects  map[string]*object
	machines map[string]machine
	counts   Counts
	fault    Fault
	limiter  *rate.Limiter
}

// Fault makes the platform misbehave.
type Fault struct {
	// Down refuses every call with 503.
	Down bool
	// Delay holds every call.
	Delay time.Duration
	// LoseAnswers applies writes but closes the connection without an answer.
	LoseAnswers bool
	// HoldWatches keeps watches silent until their wait ends.
	HoldWatches bool
	// CallsPerSecond is the rate above which calls are refused with 429; 0 means
	// no limit.
	CallsPerSecond int
}

// Counts are the calls that the platform has received.
type Counts struct {
	// Reads, Watches and Writes are the calls, refused ones included.
	Reads, Watches, Writes int64
	// Refused are the calls above the rate.
	Refused int64
}

type object struct {
	versions [][]byte
	changed  chan struct{}
}

type machine struct {
	shown   *mustardsaddle.Machine
	next    *mustardsaddle.Machine
	shownAt time.Time
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	return &Platform{
		cfg:      cfg,
		objects:  make(map[string]*object),
		machines: make(map[string]machine),
	}
}

// SetFault replaces the current fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.limiter = nil
	if f.CallsPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(f.CallsPerSecond), f.CallsPerSecond)
	}
}

// Calls returns how many calls the platform has counted.
func (p *Platform) Calls() int64 {
	n := p.Counts()
	return n.Reads + n.Watches + n.Writes
}

// Counts returns the calls by kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// History returns the versions of an object, the oldest first.
func (p *Platform) History(key string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.objectOf(key).versions)
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", p.putFault).Methods(http.MethodPut)
	r.HandleFunc("/machines/{name}", p.putMachine).Methods(http.MethodPut)
	r.HandleFunc("/machines/{name}", p.deleteMachine).Methods(http.MethodDelete)
	r.Handle("/machines", p.faulty(p.listMachines)).Methods(http.MethodGet)
	r.Handle("/objects", p.faulty(p.listObjects)).Methods(http.MethodGet)
	r.Handle("/objects/{key:.+}", p.faulty(p.getObject)).Methods(http.MethodGet)
	r.Handle("/objects/{key:.+}", p.faulty(p.putObject)).Methods(http.MethodPut)
	return r
}

func (p *Platform) faulty(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, allowed := p.count(r)
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

// count counts a call, and returns the present fault and whether the rate allows
// the call.
func (p *Platform) count(r *http.Request) (Fault, bool) {
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
		p.answer(w, key, version)
		return
	}
	if text := query.Get("after"); text != "" {
		after, _ := strconv.ParseInt(text, 10, 64)
		wait, _ := time.ParseDuration(query.Get("wait"))
		if !p.wait(r, key, after, min(wait, maxWait)) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	p.answer(w, key, 0)
}

// wait blocks until the object is newer than after, or returns false when the
// wait ends.
func (p *Platform) wait(r *http.Request, key string, after int64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		o := p.objectOf(key)
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

// objectOf returns the entry of a key, made if needed. The caller holds mu.
func (p *Platform) objectOf(key string) *object {
	o := p.objects[key]
	if o == nil {
		o = &object{changed: make(chan struct{})}
		p.objects[key] = o
	}
	return o
}

func (p *Platform) answer(w http.ResponseWriter, key string, version int64) {
	p.mu.Lock()
	o := p.objectOf(key)
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
	version, ok := p.Put(mux.Vars(r)["key"], value, condition(r.Header))
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

// condition returns the version that a write demands, or -1 for none.
func condition(h http.Header) int64 {
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

// Put writes a value if the newest version is the given one; -1 means any.
func (p *Platform) Put(key string, value []byte, version int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objectOf(key)
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

// SetMachine adds or changes a VM; the list shows it after the lag.
func (p *Platform) SetMachine(now time.Time, m mustardsaddle.Machine) {
	p.change(now, m.Name, &m)
}

// RemoveMachine removes a VM; the list drops it after the lag.
func (p *Platform) RemoveMachine(now time.Time, name string) {
	p.change(now, name, nil)
}

func (p *Platform) change(now time.Time, name string, next *mustardsaddle.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[name] = machine{shown: p.machines[name].at(now), next: next, shownAt: now.Add(p.cfg.Lag)}
}

// at returns what the list shows of the VM at the given time.
func (m machine) at(now time.Time) *mustardsaddle.Machine {
	if now.Before(m.shownAt) {
		return m.shown
	}
	return m.next
}

// listMachines answers with the VMs of one service, or with the gateway VMs.
func (p *Platform) listMachines(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	service := r.URL.Query().Get("service")
	machines := []mustardsaddle.Machine{}
	p.mu.Lock()
	for _, m := range p.machines {
		if shown := m.at(now); shown != nil && shown.Service == service {
			machines = append(machines, *shown)
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
