package model_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

// seeds is how many runs a mean is taken over.
const seeds = 3

// outcome is the mean of some runs.
type outcome struct {
	worth, worst, credit, served float64
}

// play returns the mean outcome of a pattern under a policy.
func play(t *testing.T, pattern, policy string) outcome {
	t.Helper()
	var mean outcome
	for seed := range uint64(seeds) {
		r := model.Run(model.Config{Pattern: patternOf(t, pattern), Policy: policyOf(t, policy), Seed: seed + 1})
		mean.worth += r.Worth() / seeds
		mean.worst += r.Worst() / seeds
		mean.credit += r.Credit() / seeds
		mean.served += r.ServedShare() / seeds
	}
	return mean
}

func patternOf(t *testing.T, name string) model.Pattern {
	t.Helper()
	return named(t, model.Patterns(), func(p model.Pattern) string { return p.Name }, name)
}

func policyOf(t *testing.T, name string) model.Policy {
	t.Helper()
	return named(t, model.Policies(), func(p model.Policy) string { return p.Name }, name)
}

// named returns the item of the given name.
func named[T any](t *testing.T, all []T, nameOf func(T) string, name string) T {
	t.Helper()
	at := slices.IndexFunc(all, func(item T) bool { return nameOf(item) == name })
	if at < 0 {
		t.Fatalf("got name %q, want a known one", name)
	}
	return all[at]
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	cfg := model.Config{Pattern: patternOf(t, "Surge"), Policy: policyOf(t, "Survey"), Seed: 7}
	if a, b := model.Run(cfg), model.Run(cfg); !reflect.DeepEqual(a, b) {
		t.Errorf("got worth %v and %v from equal seeds", a.Worth(), b.Worth())
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom(model.Patterns()).Draw(t, "Pattern")
		p.Duration = 2 * time.Second
		p.Troubles = append([]model.Trouble{}, p.Troubles...)
		for i := range p.Troubles {
			p.Troubles[i].At, p.Troubles[i].For = time.Second/2, time.Second
		}
		p.Load = rapid.Float64Range(0.1, 3).Draw(t, "Load")
		p.Gateways = rapid.IntRange(1, 20).Draw(t, "Gateways")
		policy := rapid.SampledFrom(model.Policies()).Draw(t, "Policy")
		r := model.Run(model.Config{Pattern: p, Policy: policy, Seed: rapid.Uint64().Draw(t, "Seed")})
		if r.Total() != r.Asked {
			t.Fatalf("%s with %s: got %d ends of %d requests", p.Name, policy.Name, r.Total(), r.Asked)
		}
		if r.InTime > r.Requests[model.Served] {
			t.Fatalf("%s with %s: got %d in time of %d served", p.Name, policy.Name, r.InTime, r.Requests[model.Served])
		}
		if worth := r.Worth(); worth < 0 || worth > 1 {
			t.Fatalf("%s with %s: got worth %v, want 0 to 1", p.Name, policy.Name, worth)
		}
	})
}

// The product's policy is worth at least a given part of what exact knowledge would
// bring, in every pattern.
func TestNearExactKnowledge(t *testing.T) {
	const (
		// nearly is that part where servers can be asked.
		nearly = 0.92
		// rarely is that part where they may be asked once for each call.
		rarely = 0.75
	)
	for _, p := range model.Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			part := nearly
			if p.Name == "FewQuestions" {
				part = rarely
			}
			got, exact := play(t, p.Name, "Survey"), play(t, p.Name, "Exact")
			if got.worth < part*exact.worth {
				t.Errorf("got worth %.3f, want at least %v of %.3f", got.worth, part, exact.worth)
			}
		})
	}
}

// Each row names a load pattern, and what it showed when policies were compared.
func TestPatternsRankPolicies(t *testing.T) {
	for _, c := range []struct {
		pattern, better, worse string
		by                     func(outcome) float64
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
		t.Run(c.pattern+" "+c.better+" before "+c.worse, func(t *testing.T) {
			t.Parallel()
			better, worse := c.by(play(t, c.pattern, c.better)), c.by(play(t, c.pattern, c.worse))
			if better <= worse {
				t.Errorf("got %.3f for %s and %.3f for %s, want the first above", better, c.better, worse, c.worse)
			}
		})
	}
}

func worth(o outcome) float64 { return o.worth }

func worst(o outcome) float64 { return o.worst }

// Servers that shed every request while they answer questions leave the choice.
func TestSheddingServersLeaveTheChoice(t *testing.T) {
	t.Parallel()
	got := play(t, "SheddingServers", "Survey")
	if got.served < 0.9 {
		t.Errorf("got %.3f served, want at least 0.9", got.served)
	}
}

// Calls are not refused for want of questions.
func TestFewQuestionsServe(t *testing.T) {
	t.Parallel()
	got := play(t, "FewQuestions", "Survey")
	if got.served < 0.9 {
		t.Errorf("got %.3f served, want at least 0.9", got.served)
	}
}
