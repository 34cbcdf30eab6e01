package admin

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// metricPrefix is the prefix of the name of each metric of the gateway itself.
	metricPrefix = "Mustardsaddle"
	// separator separates the parts of a metric's name.
	separator = "_"
	// defaultInterval is the time between two updates of the metrics page.
	defaultInterval = time.Second
)

// MetricsConfig configures Metrics.
type MetricsConfig struct {
	// Interval is the time between two updates of the page; 0 means 1 s.
	Interval time.Duration
	// OnError, if set, is called with the error for each metric that conflicts with
	// another and is therefore left out.
	OnError func(err error)
}

// Metrics collects the metrics of one gateway. Each Metrics has its own registry, so
// that the metrics of several gateways in one process stay separate.
type Metrics struct {
	scope    tally.Scope
	interval time.Duration
	closer   io.Closer
	handler  http.Handler
}

var _ io.Closer = (*Metrics)(nil)

// NewMetrics starts the collection in a goroutine that ends when Close is called.
func NewMetrics(cfg MetricsConfig) *Metrics {
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.OnError == nil {
		cfg.OnError = func(error) {}
	}
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: cfg.OnError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              separator,
		CachedReporter:         reporter,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, cfg.Interval)
	return &Metrics{scope: scope, interval: cfg.Interval, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the scope in which the components of a gateway create their metrics.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Handler returns the metrics page in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close updates the page a last time and ends the collection.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// sanitizeOptions returns the characters that are allowed: in names, those that
// Prometheus accepts; in label values, also those in the addresses of VMs and in encoded names.
func sanitizeOptions() *tally.SanitizeOptions {
	name := tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters}
	value := tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', ':', '/', '%', '~'}}
	return &tally.SanitizeOptions{
		NameCharacters: name, KeyCharacters: name, ValueCharacters: value,
		ReplacementCharacter: tally.DefaultReplacementCharacter,
	}
}
