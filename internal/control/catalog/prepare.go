package catalog

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/pace"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// nextRules is the revision that an update leads to, if its rules are newer than the ones in force
// or correct them.
type nextRules struct {
	rule.Revision
	newer, corrected bool
	// result is rule.Gap or rule.BadDigest if the update holds a change that does not apply to the
	// rules in force, so that all rules are needed, and rule.Ended if the preparation was ended.
	result rule.Result
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

// prepare prepares the rules that an update contains as a whole or as a change, without mu and
// giving way to calls. The rules in force remain the same until the caller calls the returned
// function. Of versions that arrive meanwhile, changes wait, and a newer text ends the
// preparation.
func (c *Catalog) prepare(u mustardsaddle.Update, isResponse bool) (nextRules, func()) {
	if u.Rules == nil && u.RuleChange == nil {
		return nextRules{result: rule.Stale}, func() {}
	}
	if u.Rules != nil {
		c.addText(u.Rules.Generation)
	}
	c.preparing.Lock()
	release := func() {
		if u.Rules != nil {
			c.removeText(u.Rules.Generation)
		}
		c.preparing.Unlock()
	}
	table := c.currentTable()
	if u.Rules != nil {
		return c.prepareText(table, *u.Rules, isResponse && u.Whole), release
	}
	change := rule.Change(*u.RuleChange)
	next, result := table.ReviseChange(change, c.giveWay(table.File.Generation, change.To))
	return nextRules{Revision: next, newer: result == rule.Applied, result: result}, release
}

// prepareText prepares the rules of a text. If it is a snapshot of the directory and has the
// generation in force but other lines, the rules in force came from a gateway of another build,
// which had omitted lines that it could not read: the text corrects them.
func (c *Catalog) prepareText(table *rule.Table, r mustardsaddle.RulesText, isSnapshot bool) nextRules {
	inForce := table.File.Generation
	corrects := isSnapshot && r.Generation == inForce && inForce > 0
	if r.Generation <= inForce && !corrects {
		return nextRules{result: rule.Stale}
	}
	revision, result := table.ReviseText(r, c.giveWay(inForce, r.Generation))
	for _, p := range revision.Problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	next := nextRules{Revision: revision}
	switch result {
	case rule.Applied:
		next.newer = r.Generation > inForce
		next.corrected = corrects && len(revision.Change.Out)+len(revision.Change.In) > 0
	case rule.Ended:
		next.result = rule.Ended
	default:
		// Rules that cannot be read at all leave those in force.
	}
	return next
}

// currentTable returns the table in force.
func (c *Catalog) currentTable() *rule.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// minPacedWork is the work between two looks at the clock.
const minPacedWork = pace.MaxWork / 32

// giveWay returns the function that divides the preparation of a generation of the rules into
// slices, and ends it when the catalog stops or a newer text has arrived. Without rules in force
// there are no calls to give way to.
func (c *Catalog) giveWay(inForce, generation int64) rule.GiveWay {
	pacer, unpaced := pace.Start(time.Now()), 0
	return func(work int) bool {
		if unpaced += work; unpaced < minPacedWork {
			return true
		}
		var pause time.Duration
		pacer, pause = pacer.Next(time.Now(), unpaced)
		unpaced = 0
		if pause == 0 {
			return true
		}
		if inForce > 0 {
			c.cfg.Pause(pause)
		}
		pacer = pace.Start(time.Now())
		return !c.superseded(generation)
	}
}

// addText records that a text of a generation waits for its preparation or is prepared.
func (c *Catalog) addText(generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.texts = append(c.texts, generation)
}

// removeText ends what addText began.
func (c *Catalog) removeText(generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.texts, generation)
	c.texts = slices.Delete(c.texts, i, i+1)
}

// superseded reports whether a generation need not be prepared further.
func (c *Catalog) superseded(generation int64) bool {
	select {
	case <-c.stopped:
		return true
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.texts, func(g int64) bool { return g > generation })
}
