package instance

import (
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// newsOf returns the message that carries a change of the rules.
func newsOf(c rule.Change) news.RuleChange {
	return news.RuleChange{
		From: c.From, To: c.To, Submission: c.Submission, Digest: c.Digest,
		Out: convert(c.Out, newsEdit), In: convert(c.In, newsEdit),
	}
}

// changeOf returns the change that a message carries.
func changeOf(m news.RuleChange) rule.Change {
	return rule.Change{
		From: m.From, To: m.To, Submission: m.Submission, Digest: m.Digest,
		Out: convert(m.Out, ruleEdit), In: convert(m.In, ruleEdit),
	}
}

func newsEdit(e rule.Edit) news.RuleEdit { return news.RuleEdit(e) }

func ruleEdit(e news.RuleEdit) rule.Edit { return rule.Edit(e) }

// convert returns the results of f in order.
func convert[A, B any](items []A, f func(A) B) []B {
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}
