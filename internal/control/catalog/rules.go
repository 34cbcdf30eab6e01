package catalog

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// nextRules is the rules file that an update leads to. It is newer than the one in force,
// or empty if newer is false.
type nextRules struct {
	file  rule.File
	newer bool
}

// nextRules returns the rules that an update contains as a whole or as a change. The
// result is rule.Gap or rule.BadDigest if the change does not apply to the rules in
// force, so that all rules are needed. The caller holds mu.
func (c *Catalog) nextRules(u mustardsaddle.Update) (nextRules, rule.Result) {
	switch {
	case u.Rules != nil && u.Rules.Generation > c.table.File.Generation:
		file, ok := c.parseRules(*u.Rules)
		return nextRules{file: file, newer: ok}, rule.Applied
	case u.RuleChange != nil:
		file, result := rule.Change(*u.RuleChange).Apply(c.table.File)
		return nextRules{file: file, newer: result == rule.Applied}, result
	default:
		return nextRules{}, rule.Stale
	}
}

// correctedRules returns the rules of a snapshot of the directory if they have the generation
// in force and other lines. The ones in force then came from a gateway of another build, which
// had omitted lines that it could not read. The caller holds mu.
func (c *Catalog) correctedRules(u mustardsaddle.Update) nextRules {
	if u.Rules == nil || u.Rules.Generation == 0 || u.Rules.Generation != c.table.File.Generation {
		return nextRules{}
	}
	file, ok := c.parseRules(*u.Rules)
	return nextRules{file: file, newer: ok && digestRules(file) != c.known[mustardsaddle.RulesCollection].digest}
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

// parseRules parses rules and logs the lines that are not used. It returns false for rules that
// cannot be read at all: those in force remain.
func (c *Catalog) parseRules(r mustardsaddle.RulesText) (rule.File, bool) {
	file, problems, ok := rule.ParseDirectory(r.Text)
	for _, p := range problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	return file.WithGeneration(r.Generation), ok
}

// putInForce puts rules in force if they are newer. The caller holds mu.
func (c *Catalog) putInForce(next nextRules, at mustardsaddle.Position, source string) {
	if !next.newer {
		return
	}
	c.table = c.table.Recompile(next.file)
	c.known[mustardsaddle.RulesCollection].digest = digestRules(next.file)
	c.cfg.InForce(c.table)
	event.Info(c.cfg.Logger, event.RulesInForce).Int64("Generation", next.file.Generation).Int64("Era", at.Era).
		Int64("Revision", at.Revision).Str("Source", source).Send()
}

// changeTo returns the change from the rules in force to newer ones; nil if they are not
// newer. The caller holds mu.
func (c *Catalog) changeTo(next nextRules) *mustardsaddle.RuleChange {
	if !next.newer {
		return nil
	}
	change := mustardsaddle.RuleChange(rule.Diff(c.table.File, next.file))
	return &change
}
