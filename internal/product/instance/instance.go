// Package instance runs one gateway: it opens the addresses, keeps rules and
// roster fresh from the platform, and stops gracefully.
//
// # Usage
//
//	err := instance.Run(ctx, instance.Config{Settings: s, Logger: logger})
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/event"
	"mustardsaddle.example/mustardsaddle/internal/product/settings"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// Config configures an instance.
type Config struct {
	// Settings are the checked settings.
	Settings settings.Settings
	// Logger takes the log events.
	Logger zerolog.Logger
}

type instance struct {
	cfg     Config
	store   *store.Client
	gateway *gateway.Gateway
	roster  roster.Roster
	version int64
}

// Run serves until the context ends, then stops gracefully.
func Run(ctx context.Context, cfg Config) error {
	s := cfg.Settings
	in := &instance{
		cfg:   cfg,
		store: store.New(store.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout}),
		gateway: gateway.New(gateway.Config{
			Name: s.Gateway.Name, Zone: s.Gateway.Zone, Deadline: s.Limits.Deadline, Logger: cfg.Logger,
		}),
	}
	lc := net.ListenConfig{}
	callers, err := lc.Listen(ctx, "tcp", s.Gateway.Listen)
	if err != nil {
		return code.Wrapf(code.SettingsBadValue, err, "open callers' address")
	}
	admin, err := lc.Listen(ctx, "tcp", s.Gateway.Admin)
	if err != nil {
		return code.Wrapf(code.SettingsBadValue, err, "open admin address")
	}
	return in.serve(ctx, callers, admin)
}

func (in *instance) serve(ctx context.Context, callers, admin net.Listener) error {
	front := &http.Server{Handler: in.gateway, ReadHeaderTimeout: in.cfg.Settings.Limits.Progress}
	back := &http.Server{Handler: in.admin(), ReadHeaderTimeout: in.cfg.Settings.Limits.Progress}
	served := make(chan error, 2)
	go func() { served <- front.Serve(callers) }()
	go func() { served <- back.Serve(admin) }()
	refreshed := make(chan struct{})
	go in.refresh(ctx, refreshed)
	event.Info(in.cfg.Logger, event.Started).Str("Listen", callers.Addr().String()).Send()
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	event.Info(in.cfg.Logger, event.StopBegun).Send()
	<-refreshed
	stop := context.WithoutCancel(ctx)
	err = errors.Join(err, front.Shutdown(stop), back.Shutdown(stop))
	event.Info(in.cfg.Logger, event.StopEnded).Send()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (in *instance) admin() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if in.gateway.Rules() == nil {
			http.Error(w, "no rules", http.StatusServiceUnavailable)
		}
	})
	return r
}

// refresh polls the platform until the context ends, then closes done.
func (in *instance) refresh(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(in.cfg.Settings.Platform.Poll)
	defer ticker.Stop()
	for {
		in.refreshRoster(ctx)
		in.refreshRules(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (in *instance) refreshRoster(ctx context.Context) {
	machines, err := in.store.Machines(ctx)
	if err != nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Err(err).Send()
		return
	}
	now := time.Now()
	in.roster = in.roster.WithMachines(now, machines)
	for _, service := range in.roster.Services() {
		in.gateway.SetServers(now, service, in.roster.Servers(service))
	}
}

func (in *instance) refreshRules(ctx context.Context) {
	o, err := in.store.Get(ctx, "Rules/Submitted")
	if err != nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Err(err).Send()
		return
	}
	if o.Version <= in.version {
		return
	}
	in.version = o.Version
	file, problems := rule.Parse(string(o.Value))
	for _, p := range problems {
		event.Warn(in.cfg.Logger, event.RulesRefused).Int("Line", p.Line).Int("Code", int(p.Code)).Str("Text", p.Text).Send()
	}
	if len(problems) > 0 {
		return
	}
	in.gateway.SetRules(rule.Compile(file))
	event.Info(in.cfg.Logger, event.RulesInForce).Int64("Generation", file.Generation).Send()
}
