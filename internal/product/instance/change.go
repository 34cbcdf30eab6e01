package instance

import (
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// changeToMessage converts a change of the rules to a message.
func changeToMessage(c rule.Change) news.RuleChange {
	return news.RuleChange{
		From: c.From, To: c.To, Submission: c.Submission, Digest: c.Digest,
		Out: mapSlice(c.Out, editToMessage), In: mapSlice(c.In, editToMessage),
	}
}

// changeFromMessage converts a message to a change of the rules.
func changeFromMessage(m news.RuleChange) rule.Change {
	return rule.Change{
		From: m.From, To: m.To, Submission: m.Submission, Digest: m.Digest,
		Out: mapSlice(m.Out, editFromMessage), In: mapSlice(m.In, editFromMessage),
	}
}

func editToMessage(e rule.Edit) news.RuleEdit { return news.RuleEdit(e) }

func editFromMessage(e news.RuleEdit) rule.Edit { return rule.Edit(e) }

// mapSlice applies f to each item and returns the results in order.
func mapSlice[A, B any](items []A, f func(A) B) []B {
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}
