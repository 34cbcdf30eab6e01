// Package admin serves the operators' address of a gateway: health, readiness,
// the rules in force, the servers as this gateway sees them, and metrics. Every
// page is read-only; operators change what a gateway does by the rules file in
// the platform's store alone.
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
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// GenerationHeader carries the generation of the rules in force.
const GenerationHeader = "Mustardsaddle-Generation"

const textType = "text/plain; charset=utf-8"

// Config configures the admin pages. Every function must be safe for concurrent
// use and answer from memory, so that the pages work while the platform is down.
type Config struct {
	// Ready returns nil while the gateway takes calls, and otherwise an error
	// with a code that says why it doesn't.
	Ready func() error
	// Rules returns the rules file in force.
	Rules func() Rules
	// Servers returns the endpoint servers as this gateway sees them.
	Servers func() []Server
	// Metrics answers the metrics page.
	Metrics http.Handler
}

// Rules is the rules file in force.
type Rules struct {
	// Generation is the number of the file; 0 means that there is none yet.
	Generation int64
	// Text is the file.
	Text string
}

// Server is an endpoint server as this gateway sees it.
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
	r.Handle("/metrics", cfg.Metrics)
	r.Use(readOnly)
	return r
}

type pages struct {
	cfg Config
}

// readOnly refuses every method but GET and HEAD.
func readOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
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
	_, _ = fmt.Fprintln(w, "/healthz\n/readyz\n/rules\n/servers\n/metrics")
}

// health tells that the process runs and answers.
func (pages) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textType)
	_, _ = fmt.Fprintln(w, "Healthy")
}

// ready tells the platform's balancer whether to send calls here.
func (p pages) ready(w http.ResponseWriter, _ *http.Request) {
	if err := p.cfg.Ready(); err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", textType)
	_, _ = fmt.Fprintln(w, "Ready")
}

func (p pages) rules(w http.ResponseWriter, _ *http.Request) {
	rules := p.cfg.Rules()
	if rules.Generation == 0 {
		refuse(w, code.Errorf(code.CallNotReady, "this gateway has no rules yet"))
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
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(servers)
}

// refuse answers 503 with the code and the reason.
func refuse(w http.ResponseWriter, err error) {
	n := code.Of(err)
	w.Header().Set("Content-Type", textType)
	w.Header().Set(header.Code, strconv.Itoa(int(n)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, "Code=%d Name=%s Reason=%q\n", int(n), n, err)
}
