// Package admin implements the HTTP admin pages of a gateway for operators: health,
// readiness, the rules in force, the known endpoint servers, and metrics. The pages are
// read-only but for the release of a quarantined request and for evacuations; operators
// change what a gateway does through the rules file in the platform's store, and an
// evacuation is a submission of this file.
//
// # Usage
//
//	m := admin.NewMetrics(admin.MetricsConfig{Interval: time.Second})
//	defer m.Close()
//	h := admin.New(admin.Config{Ready: ready, Rules: rules, Servers: servers, Metrics: m.Handler()})
//	http.Serve(listener, h)
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// GenerationHeader carries the generation of the rules in force.
const GenerationHeader = "Mustardsaddle-Generation"

const textType = "text/plain; charset=utf-8"

// Config configures the admin pages. Every function must be safe for concurrent
// use and answer from memory, so that the pages work while the platform is down.
type Config struct {
	// Ready returns nil while the gateway accepts calls, and otherwise an error with
	// a result code and the reason.
	Ready func() error
	// Rules returns the rules file in force.
	Rules func() Rules
	// Servers returns the endpoint servers that this gateway knows.
	Servers func() []Server
	// Quarantine returns the requests under which servers have ended.
	Quarantine func() []quarantine.Item
	// Release releases one of them. It returns false if there is none with the digest.
	Release func(digest mustardsaddle.RequestDigest) bool
	// Evacuations returns the evacuated zones.
	Evacuations func() Evacuations
	// EvacuationChanger changes them, by a submission of the rules file.
	EvacuationChanger EvacuationChanger
	// Quotas returns the customers with the highest usage that this gateway grants, at most
	// MaxQuotas.
	Quotas func() []mustardsaddle.QuotaUse
	// Metrics serves the metrics page.
	Metrics http.Handler
}

// Rules is the rules file in force.
type Rules struct {
	// Generation is the generation of the file; 0 means that there is no file yet.
	Generation int64
	// Text is the content of the file.
	Text string
}

// Server is an endpoint server that this gateway knows, as the servers page shows it.
type Server struct {
	mustardsaddle.Server
}

// New returns the handler of the admin pages.
func New(cfg Config) http.Handler {
	p := pages{cfg: cfg}
	r := mux.NewRouter()
	r.HandleFunc("/", p.index)
	r.HandleFunc("/healthz", p.health)
	r.HandleFunc("/readyz", p.ready)
	r.HandleFunc("/rules", p.rules)
	r.HandleFunc("/servers", p.servers)
	r.HandleFunc(QuarantinePath, p.quarantine)
	r.HandleFunc(QuarantinePath+"/{digest}", p.release).Methods(http.MethodDelete)
	r.HandleFunc(EvacuationsPath, p.evacuations)
	r.HandleFunc(EvacuationsPath+"/{zone}", p.evacuate).Methods(http.MethodPut)
	r.HandleFunc(EvacuationsPath+"/{zone}", p.endEvacuation).Methods(http.MethodDelete)
	r.HandleFunc(QuotasPath, p.quotas)
	r.Handle("/metrics", cfg.Metrics)
	r.Use(readOnly)
	return r
}

type pages struct {
	cfg Config
}

// readOnly rejects every method except GET and HEAD, and those that release a request or
// change an evacuation.
func readOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, releases := mux.Vars(r)["digest"]
		_, evacuates := mux.Vars(r)["zone"]
		if r.Method != http.MethodGet && r.Method != http.MethodHead && !releases && !evacuates {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "got method "+r.Method+", want GET or HEAD", http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

func (pages) index(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textType)
	_, _ = fmt.Fprintln(w, "/healthz\n/readyz\n/rules\n/servers\n/quarantine\n/evacuations\n/quotas\n/metrics")
}

// health reports that the process is running and responds.
func (pages) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textType)
	_, _ = fmt.Fprintln(w, "Healthy")
}

// ready tells the platform's load balancer whether to send calls to this gateway.
func (p pages) ready(w http.ResponseWriter, _ *http.Request) {
	if err := p.cfg.Ready(); err != nil {
		writeUnavailable(w, err)
		return
	}
	w.Header().Set("Content-Type", textType)
	_, _ = fmt.Fprintln(w, "Ready")
}

func (p pages) rules(w http.ResponseWriter, _ *http.Request) {
	rules := p.cfg.Rules()
	if rules.Generation == 0 {
		writeUnavailable(w, code.Errorf(code.CallNotReady, "this gateway has no rules yet"))
		return
	}
	w.Header().Set("Content-Type", textType)
	w.Header().Set(GenerationHeader, strconv.FormatInt(rules.Generation, 10))
	_, _ = fmt.Fprint(w, rules.Text)
}

func (p pages) servers(w http.ResponseWriter, _ *http.Request) {
	servers := p.cfg.Servers()
	if servers == nil {
		servers = []Server{}
	}
	writeJSON(w, servers)
}

// writeUnavailable responds with status 503, the result code and the reason.
func writeUnavailable(w http.ResponseWriter, err error) {
	writeError(w, http.StatusServiceUnavailable, err)
}

// writeError responds with the status, the result code and the reason.
func writeError(w http.ResponseWriter, status int, err error) {
	n := code.Of(err)
	w.Header().Set("Content-Type", textType)
	w.Header().Set(header.Code, strconv.Itoa(int(n)))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "Code=%d Name=%s Reason=%q\n", int(n), n, err)
}

// writeJSON responds with a value as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
