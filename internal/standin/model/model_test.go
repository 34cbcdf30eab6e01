package model_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

// runsPerMean is the number of runs, with different seeds, that a mean is taken over.
const runsPerMean = 3

// means holds the mean results of several runs.
type means struct {
	worth, worst, credit, served float64
}

// runMeans returns the mean results of a pattern under a policy.
func runMeans(t *testing.T, pattern, policy string) means {
	t.Helper()
	var mean means
	for seed := range uint64(runsPerMean) {
		r := model.Run(model.Config{Pattern: patternByName(t, pattern), Policy: policyByName(t, policy), Seed: seed + 1})
		mean.worth += r.Worth() / runsPerMean
		mean.worst += r.Worst() / runsPerMean
		mean.credit += r.Credit() / runsPerMean
		mean.served += r.ServedShare() / runsPerMean
	}
	return mean
}

func patternByName(t *testing.T, name string) model.Pattern {
	t.Helper()
	return byName(t, model.Patterns(), func(p model.Pattern) string { return p.Name }, name)
}

func policyByName(t *testing.T, name string) model.Policy {
	t.Helper()
	return byName(t, model.Policies(), func(p model.Policy) string { return p.Name }, name)
}

// byName returns the item with the given name.
func byName[T any](t *testing.T, items []T, nameOf func(T) string, name string) T {
	t.Helper()
	i := slices.IndexFunc(items, func(item T) bool { return nameOf(item) == name })
	if i < 0 {
		t.Fatalf("unknown name %q", name)
	}
	return items[i]
}

// Policies can be compared only if equal seeds give equal runs. A run that read the clock or
// depended on the order of a map would differ from the next one.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	cfg := model.Config{Pattern: patternByName(t, "Surge"), Policy: policyByName(t, "Survey"), Seed: 7}
	if a, b := model.Run(cfg), model.Run(cfg); !reflect.DeepEqual(a, b) {
		t.Errorf("results of two runs with the same seed differ: got worth %v and %v", a.Worth(), b.Worth())
	}
}

// A call can time out while it is queued, or while a load query or an attempt is
// outstanding. Its request must still end exactly once: a late reply must not end it again,
// and a request must not be lost.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom(model.Patterns()).Draw(t, "Pattern")
		p.Duration = 2 * time.Second
		p.Faults = append([]model.Fault{}, p.Faults...)
		for i := range p.Faults {
			p.Faults[i].Start, p.Faults[i].Duration = time.Second/2, time.Second
		}
		p.Load = rapid.Float64Range(0.1, 3).Draw(t, "Load")
		p.Gateways = rapid.IntRange(1, 20).Draw(t, "Gateways")
		policy := rapid.SampledFrom(model.Policies()).Draw(t, "Policy")
		r := model.Run(model.Config{Pattern: p, Policy: policy, Seed: rapid.Uint64().Draw(t, "Seed")})
		if r.Total() != r.Asked {
			t.Fatalf("%s with %s: got %d outcomes of %d requests", p.Name, policy.Name, r.Total(), r.Asked)
		}
		if r.InTime > r.Requests[model.Served] {
			t.Fatalf("%s with %s: got %d requests in time, but only %d served", p.Name, policy.Name, r.InTime, r.Requests[model.Served])
		}
		if worth := r.Worth(); worth < 0 || worth > 1 {
			t.Fatalf("%s with %s: got worth %v, want 0 to 1", p.Name, policy.Name, worth)
		}
	})
}

// In every pattern, the load balancer's policy reaches a minimum share of the score
// that perfect information about the servers would give.
func TestScoreNearPerfectInformation(t *testing.T) {
	const (
		// minShare is that share with the usual limit on load queries.
		minShare = 0.92
		// minShareFewQueries is that share with a limit of about one query per call.
		minShareFewQueries = 0.75
	)
	for _, p := range model.Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			share := minShare
			if p.Name == "FewQuestions" {
				share = minShareFewQueries
			}
			got, exact := runMeans(t, p.Name, "Survey"), runMeans(t, p.Name, "Exact")
			if got.worth < share*exact.worth {
				t.Errorf("got worth %.3f, want at least %v of %.3f", got.worth, share, exact.worth)
			}
		})
	}
}

// Each row states that one policy scores higher than another in a load pattern, as the
// comparison of policies showed.
func TestPatternsRankPolicies(t *testing.T) {
	for _, c := range []struct {
		pattern, better, worse string
		metric                 func(means) float64
	}{
		{"Calm", "Survey", "Survey4", worth},
		{"Calm", "Survey4", "PreferredSpill", worth},
		{"Calm", "PreferredSpill", "TwoChoices", worth},
		{"High", "Survey", "SurveyAllSlots", worst},
		{"Surge", "Survey", "SurveyAllSlots", worst},
		{"Surge", "Survey", "SurveyPatient", worst},
		{"Surge", "Survey", "PreferredSpill", worst},
		{"ManySlots", "Survey", "SurveyPatient", worst},
		{"FewQuestions", "Survey", "PreferredSpill", worth},
		{"SheddingServers", "Survey", "PreferredSpill", worth},
		{"DarkServers", "Survey", "TwoChoices", worth},
		{"FailingServers", "Survey", "TwoChoices", worth},
		{"SlowServers", "Survey", "TwoChoices", worth},
		{"Release", "Survey", "Survey4", worth},
	} {
		t.Run(c.pattern+" "+c.better+" above "+c.worse, func(t *testing.T) {
			t.Parallel()
			better, worse := c.metric(runMeans(t, c.pattern, c.better)), c.metric(runMeans(t, c.pattern, c.worse))
			if better <= worse {
				t.Errorf("got %.3f for %s and %.3f for %s, want a higher score for the first", better, c.better, worse, c.worse)
			}
		})
	}
}

func worth(m means) float64 { return m.worth }

func worst(m means) float64 { return m.worst }

// Servers that shed every request but reply to load queries with a low load must not
// attract most of the requests.
func TestSheddingServersAreAvoided(t *testing.T) {
	t.Parallel()
	got := runMeans(t, "SheddingServers", "Survey")
	if got.served < 0.9 {
		t.Errorf("got a served share of %.3f, want at least 0.9", got.served)
	}
}

// An exhausted budget of load queries must not lead to refused calls.
func TestExhaustedQueryBudgetRefusesNoCalls(t *testing.T) {
	t.Parallel()
	got := runMeans(t, "FewQuestions", "Survey")
	if got.served < 0.9 {
		t.Errorf("got a served share of %.3f, want at least 0.9", got.served)
	}
}
