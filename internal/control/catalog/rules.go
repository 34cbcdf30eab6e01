package catalog

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

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
