package instance

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// newCatalog returns the follower of a directory.
func (in *instance) newCatalog(d mustardsaddle.Directory, seed uint64) *catalog.Catalog {
	s := in.cfg.Settings
	return catalog.New(catalog.Config{
		Directory: d,
		InForce:   in.directoryInForce,
		Servers: func(now time.Time, service string, servers []mustardsaddle.Server) {
			in.gateway.SetServers(now, service, in.complete(service, servers))
		},
		Reader: in.reads,
		Spread: in.spreadListing,
		Wait:   s.Platform.Watch,
		Core:   catalog.CoreConfig{Return: s.Platform.Return},
		Logger: in.cfg.Logger,
		Seed:   seed,
	})
}

// directoryInForce puts rules of a directory in force.
func (in *instance) directoryInForce(t *rule.Table) {
	in.gateway.SetRules(t)
	in.generation.Store(t.File.Generation)
}

// complete fills in what neither the list nor the rules state of servers.
func (in *instance) complete(service string, servers []mustardsaddle.Server) []mustardsaddle.Server {
	return in.cfg.Settings.Service(service).Complete(servers)
}

// newChooser returns the chooser of a service.
func (in *instance) newChooser(string) mustardsaddle.Chooser {
	s := in.cfg.Settings
	if s.Choice.Policy == settings.PolicySurvey {
		return survey.New(survey.Config{
			MaxOut:        orNone(s.Choice.EjectShare),
			ProbeInterval: interval(s.Measuring.ServerPerSecond),
		})
	}
	return bench.New(bench.Config{
		Policy:        policy(s.Choice.Policy),
		SlowStart:     orNone(s.Choice.SlowStart),
		MaxEjected:    orNone(s.Choice.EjectShare),
		ProbeInterval: interval(s.Measuring.ServerPerSecond),
	})
}

// headers returns the names of headers that the settings state.
func headers(h settings.Headers) *mustardsaddle.Headers {
	names := &mustardsaddle.Headers{
		RequestID: h.RequestID, Deadline: h.Deadline, Instance: h.Instance, Server: h.Server, Load: h.Load, NotRun: h.NotRun,
		Signature: h.Signature, ParseLoad: report.Parse, FractionalRetryAfter: h.RetryAfter == settings.RetryAfterFractions,
	}
	if h.LoadFormat == settings.LoadCounts {
		names.ParseLoad = report.ParseCounts
	}
	return names
}
