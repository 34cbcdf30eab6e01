package rule

import (
	"slices"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/index"
)

// splitUse is the parsed value of Service and the number of rules that have it.
type splitUse struct {
	split TrafficSplit
	rules int
}

// Compile builds the routing table of a rules file.
func Compile(file File) *Table {
	return (&Table{File: File{directory: file.directory}}).Recompile(file)
}

// Recompile builds the routing table of another file. It shares with t what belongs to
// unchanged rules.
func (t *Table) Recompile(file File) *Table {
	if t.File.directory != file.directory {
		return Compile(file)
	}
	next, _ := t.recompile(file, editsBetween(t.File.lines, file.lines), proceed)
	return next
}

// ruleEdits are the rules that two files do not have in common.
type ruleEdits struct {
	removed, added []*Rule
}

// editsBetween returns the edits that lead from some lines to others.
func editsBetween(from, to []line) ruleEdits {
	start, end := commonEnds(from, to)
	from, to = from[start:len(from)-end], to[start:len(to)-end]
	old := make(map[string]*Rule, len(from))
	for _, l := range from {
		if l.rule != nil {
			old[l.text] = l.rule
		}
	}
	var edits ruleEdits
	for _, l := range to {
		if _, kept := old[l.text]; l.rule != nil && !kept {
			edits.added = append(edits.added, l.rule)
		}
		delete(old, l.text)
	}
	for _, l := range from {
		if _, removed := old[l.text]; l.rule != nil && removed {
			edits.removed = append(edits.removed, l.rule)
		}
	}
	return edits
}

// recompile builds the table of another file, which differs from that of t in the given rules.
// It returns false if giveWay ends it.
func (t *Table) recompile(file File, edits ruleEdits, giveWay GiveWay) (*Table, bool) {
	e := newTableEditor(t, file, len(edits.added))
	for _, r := range edits.removed {
		if !giveWay(compileWork) {
			return nil, false
		}
		e.remove(r)
	}
	for _, r := range edits.added {
		if !giveWay(compileWork) {
			return nil, false
		}
		e.add(r)
	}
	if e.next.contested && len(t.File.lines) > 0 {
		none := &Table{File: File{directory: file.directory}}
		return none.recompile(file, editsBetween(nil, file.lines), giveWay)
	}
	return e.table(t, giveWay)
}

// tableEditor builds a table from another one.
type tableEditor struct {
	next            *Table
	splits          *index.Editor[string, splitUse]
	services        *index.Editor[string, *Rule]
	stated, decoded *index.Editor[prefixKey, *Rule]
	// buckets are the changes of buckets.
	buckets map[bucketKey]ruleEdits
	// customers and evacuations are true if rules about them have changed.
	customers, evacuations bool
}

// newTableEditor returns an editor of a copy of t for another file with a number of further rules.
func newTableEditor(t *Table, file File, added int) *tableEditor {
	next := *t
	next.File = file
	e := &tableEditor{
		next: &next, splits: t.splits.Edit(), services: t.services.Edit(),
		stated: t.prefixes.stated.Edit(), decoded: t.prefixes.decoded.Edit(), buckets: make(map[bucketKey]ruleEdits),
	}
	if file.directory {
		e.stated.Reserve(added)
	}
	return e
}

// remove removes a rule.
func (e *tableEditor) remove(r *Rule) {
	switch {
	case r.IsCustomer():
		e.customers = true
	case !r.IsRoute():
		e.undeclare(r)
	default:
		e.removeRoute(r)
	}
}

// removeRoute removes a rule that routes requests.
func (e *tableEditor) removeRoute(r *Rule) {
	use, _ := e.splits.Get(r.Service)
	use.rules--
	if use.rules > 0 {
		e.splits.Set(r.Service, use)
	} else {
		e.splits.Delete(r.Service)
	}
	if stated, decoded, ok := e.prefixKeys(r); ok {
		e.stated.Delete(stated)
		if decoded != stated {
			e.decoded.Delete(decoded)
		}
		return
	}
	k := keyOf(r)
	edits := e.buckets[k]
	edits.removed = append(edits.removed, r)
	e.buckets[k] = edits
}

// undeclare removes a rule that declares a service, the idle timeout or an evacuated zone.
func (e *tableEditor) undeclare(r *Rule) {
	switch {
	case r.Service != "":
		for _, declared := range r.Services() {
			e.services.Delete(declared.Service)
		}
	case r.Evacuate != "":
		e.evacuations = true
	default:
		e.next.idle = 0
	}
}

// add adds a rule.
func (e *tableEditor) add(r *Rule) {
	switch {
	case r.IsCustomer():
		e.customers = true
	case !r.IsRoute():
		e.declare(r)
	default:
		e.addRoute(r)
	}
}

// addRoute adds a rule that routes requests.
func (e *tableEditor) addRoute(r *Rule) {
	use, known := e.splits.Get(r.Service)
	if !known {
		use.split = r.trafficSplit()
	}
	use.rules++
	e.splits.Set(r.Service, use)
	if stated, decoded, ok := e.prefixKeys(r); ok {
		addRule(e, e.stated, stated, r)
		e.addDecoded(stated, decoded, r)
		return
	}
	k := keyOf(r)
	edits := e.buckets[k]
	edits.added = append(edits.added, r)
	e.buckets[k] = edits
}

// addDecoded adds a rule to the index of decoded prefixes, if its prefix has encodings. Of several
// with the same decoded form, the first one is found.
func (e *tableEditor) addDecoded(stated, decoded prefixKey, r *Rule) {
	if decoded == stated {
		return
	}
	if _, known := e.decoded.Get(decoded); known {
		e.next.contested = true
		return
	}
	e.decoded.Set(decoded, r)
}

// addRule sets the rule that is found by a key, of several with the key the last one.
func addRule[K comparable](e *tableEditor, m *index.Editor[K, *Rule], key K, r *Rule) {
	_, known := m.Get(key)
	e.next.contested = e.next.contested || known
	m.Set(key, r)
}

// declare adds a rule that declares a service, the idle timeout or an evacuated zone.
func (e *tableEditor) declare(r *Rule) {
	switch {
	case r.Service != "":
		for _, declared := range r.Services() {
			addRule(e, e.services, declared.Service, r)
		}
	case r.Evacuate != "":
		e.evacuations = true
	default:
		e.next.idle = r.Idle
	}
}

// prefixKeys returns the keys of a rule in the index of prefixes, or false if it belongs to a
// bucket.
func (e *tableEditor) prefixKeys(r *Rule) (stated, decoded prefixKey, ok bool) {
	if !e.next.File.directory {
		return stated, decoded, false
	}
	return prefixKeys(r)
}

// table returns the table. It returns false if giveWay ends it.
func (e *tableEditor) table(t *Table, giveWay GiveWay) (*Table, bool) {
	next := e.next
	next.splits, next.services = e.splits.Map(), e.services.Map()
	next.prefixes = prefixIndex{stated: e.stated.Map(), decoded: e.decoded.Map()}
	buckets := t.buckets.Edit()
	for k, edits := range e.buckets {
		old, _ := t.buckets.Get(k)
		rules := old.edited(edits)
		if !giveWay(compileWork * (1 + len(rules))) {
			return nil, false
		}
		if len(rules) == 0 {
			buckets.Delete(k)
		} else if old == nil || !slices.EqualFunc(old.rules, rules, sameRule) {
			buckets.Set(k, newBucket(rules))
		}
	}
	next.buckets = buckets.Map()
	if e.customers {
		next.customers = t.customers.recompile(next.File.customerRules())
	}
	if e.evacuations || len(next.evacuations) > 1 {
		next.evacuations = next.File.evacuations()
	}
	return next, true
}

// edited returns the sorted rules of a bucket, which may be nil, after edits.
func (b *bucket) edited(edits ruleEdits) []*Rule {
	var rules []*Rule
	if b != nil {
		rules = slices.DeleteFunc(slices.Clone(b.rules), func(r *Rule) bool {
			return slices.ContainsFunc(edits.removed, func(removed *Rule) bool { return sameRule(r, removed) })
		})
	}
	rules = append(rules, edits.added...)
	slices.SortFunc(rules, func(a, b *Rule) int { return a.compare(*b) })
	return rules
}

// customerRules returns the rules about customers, in the file's order.
func (f File) customerRules() []*Rule {
	var rules []*Rule
	for _, l := range f.lines {
		if l.rule != nil && l.rule.IsCustomer() {
			rules = append(rules, l.rule)
		}
	}
	return rules
}

// evacuations returns the availability zones that the file evacuates, in its order.
func (f File) evacuations() []mustardsaddle.Evacuation {
	var list []mustardsaddle.Evacuation
	for _, l := range f.lines {
		if l.rule != nil && l.rule.Evacuate != "" {
			list = append(list, mustardsaddle.Evacuation{Zone: l.rule.Evacuate, Comment: l.rule.Comment})
		}
	}
	return list
}
