package catalog_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// withoutContent returns the head of an update of the rules.
func withoutContent(u mustardsaddle.Update) mustardsaddle.Update {
	if u.Rules != nil {
		u.Rules = &mustardsaddle.RulesText{Generation: u.Rules.Generation}
	}
	if u.RuleChange != nil {
		change := *u.RuleChange
		change.Out, change.In = nil, nil
		u.RuleChange = &change
	}
	return u
}

// drawUpdate draws an update of the rules, as peers send it.
func drawUpdate(t *rapid.T) mustardsaddle.Update {
	const maxRevision, maxAge = 6, 900
	u := mustardsaddle.Update{
		Position: revision(rapid.Int64Range(1, maxRevision).Draw(t, "Revision")),
		Age:      time.Duration(rapid.IntRange(0, maxAge).Draw(t, "Age")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "Known reading") {
		u.Reading = mustardsaddle.Reading{
			Gateway: rapid.SampledFrom([]string{"gateway-1", "gateway-2"}).Draw(t, "Reader"), Incarnation: 1, Seq: rapid.Int64Range(1, 4).Draw(t, "Seq"),
		}
	}
	generation := rapid.Int64Range(2, maxRevision).Draw(t, "Generation")
	switch rapid.SampledFrom([]string{"whole", "change", "confirmation"}).Draw(t, "Kind") {
	case "whole":
		u.Whole, u.Rules = true, rules(generation)
	case "change":
		u.After = revision(rapid.Int64Range(1, u.Position.Revision).Draw(t, "After"))
		from, _, _ := rule.ParseDirectory(rules(generation - 1).Text)
		to, _, _ := rule.ParseDirectory(rules(generation).Text)
		change := mustardsaddle.RuleChange(rule.Diff(from.WithGeneration(generation-1), to.WithGeneration(generation)))
		u.RuleChange = &change
	default:
		u.After = u.Position
	}
	return u
}

// TestPropertyKnownHeads guards against a gateway that drops an update by its head although the
// update would have changed or confirmed the rules, or would have been forwarded.
func TestPropertyKnownHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		var forwarded [2]int
		var catalogs [2]*catalog.Catalog
		for i := range catalogs {
			catalogs[i] = catalog.New(catalog.Config{
				Self: "gateway-0", Incarnation: 1, InForce: func(*rule.Table) {},
				Forward: func(string, mustardsaddle.Collection, mustardsaddle.Update) { forwarded[i]++ },
			})
		}
		for range rapid.IntRange(1, 12).Draw(t, "Updates") {
			u := drawUpdate(t)
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "Pause")) * time.Millisecond)
			from := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "From")
			asked := catalogs[0].Receive(now, from, mustardsaddle.RulesCollection, u)
			askedByHead := false
			if !catalogs[1].ReceiveHead(now, mustardsaddle.RulesCollection, withoutContent(u)) {
				askedByHead = catalogs[1].Receive(now, from, mustardsaddle.RulesCollection, u)
			}
			want, got := catalogs[0].Known(now, mustardsaddle.RulesCollection), catalogs[1].Known(now, mustardsaddle.RulesCollection)
			if got != want || asked != askedByHead {
				t.Fatalf("got %+v, asked %v, with the head, want %+v, asked %v", got, askedByHead, want, asked)
			}
		}
		if forwarded[0] != forwarded[1] {
			t.Fatalf("got %d forwarded updates with the heads, want %d", forwarded[1], forwarded[0])
		}
		text, _ := catalogs[0].Snapshot()
		if textByHead, _ := catalogs[1].Snapshot(); textByHead != text {
			t.Fatalf("got rules %q with the heads, want %q", textByHead, text)
		}
	})
}
