package instance

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// newCatalog returns the catalog that keeps this gateway up to date with a directory.
func (in *instance) newCatalog(now time.Time, d mustardsaddle.Directory, seed uint64) *catalog.Catalog {
	s := in.cfg.Settings
	return catalog.New(catalog.Config{
		Self:        in.self.Name,
		Incarnation: in.self.Incarnation,
		Directory:   d,
		InForce:     in.applyDirectoryRules,
		Servers: func(now time.Time, service string, servers []mustardsaddle.Server) {
			in.gateway.SetServers(now, service, in.completeServers(service, servers))
		},
		Evacuations:   s.Platform.Evacuations,
		OnEvacuations: in.signalEvacuations,
		WarmUp:        in.warmUp,

		Reader:   in.isReader,
		Forward:  in.forwardUpdate,
		Restored: func(time.Time, int64) { in.signalRestore() },
		Wait:     s.Platform.Watch,

		StartedAt: now,
		FirstWait: firstWait(s.Platform.FirstStart),

		Core:   catalog.CoreConfig{RetainMissing: s.Platform.Return},
		Logger: in.cfg.Logger,
		Seed:   seed,
	})
}

// warmUp returns how long the servers of a service warm up by the rules in force.
func (in *instance) warmUp(service string) time.Duration {
	table := in.gateway.Rules()
	if table == nil {
		return 0
	}
	return table.Service(service).WarmUp
}

const (
	// fleetStartWait is how long a gateway waits for its peers while the whole fleet starts
	// for the first time, and restartWait how long at any other start, when calls may be
	// waiting for it.
	fleetStartWait = 2 * time.Second
	restartWait    = 60 * time.Millisecond
)

// firstWait returns how long a gateway that starts waits for its peers to tell it the rules
// and the servers.
func firstWait(fleetStart bool) time.Duration {
	if fleetStart {
		return fleetStartWait
	}
	return restartWait
}

// applyDirectoryRules puts a rule table from the directory in force.
func (in *instance) applyDirectoryRules(t *rule.Table) {
	in.gateway.SetRules(t)
	in.quotas.SetLimited(t.LimitsCustomers())
	in.generation.Store(t.File.Generation)
}

// rulesAge returns an upper bound of the time for which the rules in force may have been
// out of date; 0 without a directory, which alone confirms them at intervals.
func (in *instance) rulesAge(now time.Time) time.Duration {
	if in.catalog == nil {
		return 0
	}
	return in.catalog.Known(now, mustardsaddle.RulesCollection).Age
}

// completeServers fills in the fields of servers that the directory leaves out, from
// the settings of the service.
func (in *instance) completeServers(service string, servers []mustardsaddle.Server) []mustardsaddle.Server {
	return in.cfg.Settings.Service(service).WithDefaults(servers)
}

// newChooser returns a chooser with the configured policy, one for each service.
func (in *instance) newChooser(string) mustardsaddle.Chooser {
	s := in.cfg.Settings
	if s.Choice.Policy == settings.PolicySurvey {
		return survey.New(survey.Config{
			MaxEjected:    noneIfZero(s.Choice.EjectShare),
			ProbeInterval: interval(s.Measuring.ServerPerSecond),
			Zones:         zonePrice(s.Zones),
		})
	}
	return bench.New(bench.Config{
		Policy:        policyByName(s.Choice.Policy),
		SlowStart:     noneIfZero(s.Choice.SlowStart),
		MaxEjected:    noneIfZero(s.Choice.EjectShare),
		ProbeInterval: interval(s.Measuring.ServerPerSecond),
	})
}

// zonePrice returns the price of leaving the availability zone, or nil if servers of all
// zones count alike.
func zonePrice(z settings.Zones) *spill.Config {
	if z.Leave != settings.LeavePrice {
		return nil
	}
	return &spill.Config{Price: z.Price, KilobytePrice: z.KilobytePrice}
}

// headerNames returns the header names and formats that the settings configure.
func headerNames(h settings.Headers) *mustardsaddle.Headers {
	names := &mustardsaddle.Headers{
		RequestID: h.RequestID,
		Caller:    h.Caller,
		Key:       h.Key,
		Customer:  h.Customer,
		Deadline:  h.Deadline,
		Instance:  h.Instance,
		Server:    h.Server,
		Load:      h.Load,
		Limit:     h.Limit,
		Leaving:   h.Leaving,
		WarmUp:    h.WarmUp,
		NotRun:    h.NotRun,
		Signature: h.Signature,
		ParseLoad: report.Parse,

		FractionalRetryAfter: h.RetryAfter == settings.RetryAfterFractions,
	}
	if h.LoadFormat == settings.LoadCounts {
		names.ParseLoad = report.ParseCounts
	}
	return names
}
