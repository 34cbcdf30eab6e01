package model

import (
	"cmp"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// defaultAsk is how many servers a call asks.
const defaultAsk = 8

// Policy is how the gateways decide.
type Policy struct {
	// Name names the policy in reports, About says what it does.
	Name  string
	About string
	// New makes a gateway's chooser.
	New func() mustardsaddle.Chooser
	// Ask is how many servers a call asks, if the chooser asks.
	Ask int
	// Patience is the part of its target, as one part in this many, for which a call
	// waits for a server; 0 means the default.
	Patience int
	// Exact lets one central gateway know the state of every server at every moment,
	// at no price.
	Exact bool
}

func (p Policy) patience() int {
	return cmp.Or(p.Patience, slot.PatienceShare)
}

// Policies returns the policies that are compared, the product's first.
func Policies() []Policy {
	asking := func(cfg survey.Config) func() mustardsaddle.Chooser {
		return func() mustardsaddle.Chooser { return survey.New(cfg) }
	}
	ranking := func(p bench.Policy) func() mustardsaddle.Chooser {
		return func() mustardsaddle.Chooser { return bench.New(bench.Config{Policy: p}) }
	}
	return []Policy{
		{Name: "Survey", About: "asks eight servers before each attempt", New: asking(survey.Config{}), Ask: defaultAsk},
		{Name: "Survey4", About: "asks four servers", New: asking(survey.Config{}), Ask: defaultAsk / 2},
		{
			Name: "SurveyAllSlots", About: "uses the last slot of slow servers too", Ask: defaultAsk,
			New: asking(survey.Config{SlowRatio: -1}),
		},
		{
			Name: "SurveyPatient", About: "waits half of the target for a server", Ask: defaultAsk, Patience: 2,
			New: asking(survey.Config{}),
		},
		{Name: "TwoChoices", About: "asks nobody, the better of two by own attempts", New: ranking(bench.TwoChoices)},
		{Name: "PreferredSpill", About: "asks nobody, divides the slots among the gateways", New: ranking(bench.PreferredSpill)},
		{Name: "Exact", About: "one gateway that knows every server at every moment", New: asking(survey.Config{}), Exact: true},
	}
}
