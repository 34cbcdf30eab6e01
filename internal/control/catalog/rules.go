package catalog

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// nextRules is the revision that an update leads to, if its rules are newer than the ones in force
// or correct them.
type nextRules struct {
	rule.Revision
	newer, corrected bool
}

// nextRules prepares the rules that an update contains as a whole or as a change. The
// result is rule.Gap or rule.BadDigest if the change does not apply to the rules in
// force, so that all rules are needed. The caller holds mu.
func (c *Catalog) nextRules(u mustardsaddle.Update) (nextRules, rule.Result) {
	switch {
	case u.Rules != nil && u.Rules.Generation > c.table.File.Generation:
		next, result := c.reviseText(*u.Rules)
		return nextRules{Revision: next, newer: result == rule.Applied}, rule.Applied
	case u.RuleChange != nil:
		next, result := c.table.ReviseChange(rule.Change(*u.RuleChange), giveWay)
		return nextRules{Revision: next, newer: result == rule.Applied}, result
	default:
		return nextRules{}, rule.Stale
	}
}

// correctedRules prepares the rules of a snapshot of the directory if they have the generation
// in force and other lines. The ones in force then came from a gateway of another build, which
// had omitted lines that it could not read. The caller holds mu.
func (c *Catalog) correctedRules(u mustardsaddle.Update) nextRules {
	if !u.Whole || u.Rules == nil || u.Rules.Generation == 0 || u.Rules.Generation != c.table.File.Generation {
		return nextRules{}
	}
	next, result := c.reviseText(*u.Rules)
	differs := len(next.Change.Out)+len(next.Change.In) > 0
	return nextRules{Revision: next, corrected: result == rule.Applied && differs}
}

// requestReread makes the next action read the rules from the directory if a peer that has
// the same generation at the same position has other lines. It does so once for each
// generation. The caller holds mu.
func (c *Catalog) requestReread(s mustardsaddle.CollectionState) {
	p := &c.known[mustardsaddle.RulesCollection]
	generation := c.table.File.Generation
	differs := s.Digest != 0 && p.digest != 0 && s.Digest != p.digest
	if s.Generation != generation || s.Position != p.position || !differs || c.rereadGeneration >= generation {
		return
	}
	c.rereadGeneration, p.historyLost = generation, true
}

// reviseText prepares rules and logs the lines that are not used. If the rules cannot be read at
// all, those in force remain. The caller holds mu.
func (c *Catalog) reviseText(r mustardsaddle.RulesText) (rule.Revision, rule.Result) {
	next, result := c.table.ReviseText(r, giveWay)
	for _, p := range next.Problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	return next, result
}

// giveWay lets the preparation of rules go on.
func giveWay(int) bool { return true }

// putInForce puts rules in force if they are newer or correct the ones in force. The caller holds
// mu.
func (c *Catalog) putInForce(next nextRules, at mustardsaddle.Position, source string) {
	if !next.newer && !next.corrected {
		return
	}
	c.table = next.Table
	generation := next.Table.File.Generation
	c.known[mustardsaddle.RulesCollection].digest = digestRules(generation, next.Change.Digest)
	c.cfg.InForce(c.table)
	event.Info(c.cfg.Logger, event.RulesInForce).Int64("Generation", generation).Int64("Era", at.Era).
		Int64("Revision", at.Revision).Str("Source", source).Send()
}

// change returns the change from the rules in force to newer ones; nil if they are not
// newer.
func (next nextRules) change() *mustardsaddle.RuleChange {
	if !next.newer {
		return nil
	}
	change := mustardsaddle.RuleChange(next.Change)
	return &change
}
