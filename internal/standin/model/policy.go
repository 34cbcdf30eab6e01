package model

import (
	"cmp"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// defaultMaxQueries is how many servers are queried for their load before an attempt.
const defaultMaxQueries = 8

// Policy is a load balancing policy of the gateways.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// Description says how the policy chooses.
	Description string
	// NewChooser returns a chooser for one gateway.
	NewChooser func() mustardsaddle.Chooser
	// MaxQueries is the maximum number of servers queried for their load before an
	// attempt, if the chooser is a LoadQuerier.
	MaxQueries int
	// WaitDivisor sets how long a call may wait in the queue of a gateway: its target
	// latency divided by WaitDivisor; 0 means slot.MaxWaitDivisor.
	WaitDivisor int
	// PerfectInformation replaces the gateways by a single one that knows the state
	// of every server at all times, without the cost of queries. It is a reference
	// for what the other policies could achieve.
	PerfectInformation bool
}

func (p Policy) waitDivisor() int {
	return cmp.Or(p.WaitDivisor, slot.MaxWaitDivisor)
}

// Policies returns the policies to compare, with that of the load balancer first.
func Policies() []Policy {
	querying := func(cfg survey.Config) func() mustardsaddle.Chooser {
		return func() mustardsaddle.Chooser { return survey.New(cfg) }
	}
	ranking := func(p bench.Policy) func() mustardsaddle.Chooser {
		return func() mustardsaddle.Chooser { return bench.New(bench.Config{Policy: p}) }
	}
	return []Policy{
		{
			Name: "Survey", Description: "queries the load of up to eight servers before each attempt",
			NewChooser: querying(survey.Config{}), MaxQueries: defaultMaxQueries,
		},
		{
			Name: "Survey4", Description: "queries up to four servers",
			NewChooser: querying(survey.Config{}), MaxQueries: defaultMaxQueries / 2,
		},
		{
			Name: "SurveyAllSlots", Description: "also uses the last slot of slow servers", MaxQueries: defaultMaxQueries,
			NewChooser: querying(survey.Config{SlowRatio: -1}),
		},
		{
			Name: "SurveyPatient", Description: "queues calls for up to half of their target latency",
			MaxQueries: defaultMaxQueries, WaitDivisor: 2, NewChooser: querying(survey.Config{}),
		},
		{
			Name: "TwoChoices", Description: "picks two random servers and uses the one with fewer attempts from the same gateway, without queries",
			NewChooser: ranking(bench.TwoChoices),
		},
		{
			Name: "PreferredSpill", Description: "divides the slots among the gateways, without queries",
			NewChooser: ranking(bench.PreferredSpill),
		},
		{
			Name: "Exact", Description: "a single gateway that knows the state of every server at all times",
			NewChooser: querying(survey.Config{}), PerfectInformation: true,
		},
	}
}

// ZonePolicies returns the ways of leaving the availability zone to compare, with that of
// the load balancer first.
func ZonePolicies() []Policy {
	leaving := func(name, description string, cfg *spill.Config) Policy {
		return Policy{Name: name, Description: description, MaxQueries: defaultMaxQueries, NewChooser: func() mustardsaddle.Chooser {
			return survey.New(survey.Config{Zones: cfg})
		}}
	}
	const price = 15 * time.Millisecond
	return []Policy{
		leaving("Price", "leaves by a share that rises with what leaving gains beyond its price", &spill.Config{Price: price}),
		leaving("AnyZone", "queries and uses servers of all zones alike", nil),
		leaving("Step", "leaves as soon as leaving gains more than its price", &spill.Config{Price: price, FullGain: time.Nanosecond}),
		leaving("FullOnly", "leaves hardly before all servers of the zone are full", &spill.Config{Price: 12 * price, FullGain: time.Nanosecond}),
		leaving("Never", "leaves only a zone without servers", &spill.Config{Price: time.Hour}),
	}
}
