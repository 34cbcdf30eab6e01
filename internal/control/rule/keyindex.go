package rule

import (
	"slices"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// customerProblems returns the problems of lines about customers that concern several lines:
// keys that two lines hold, and further keys of customers that are not declared. LineOf
// returns the line number of a rule in the text that the operator wrote, and 0 if the text
// does not have it.
func (f File) customerProblems(lineOf func(ID) int) []Problem {
	rules := f.customerRules()
	if len(rules) == 0 {
		return nil
	}
	holders := make(map[KeyDigest]*Rule)
	declared := make(map[string]bool)
	for _, r := range rules {
		if r.Part == 0 {
			declared[r.Customer] = true
		}
	}
	var problems []Problem
	for _, r := range rules {
		if !declared[r.Customer] {
			problem := problemf(code.RuleMissingField, "Customer=%s has a Part=%d but no line that declares it", r.Customer, r.Part)
			problems = append(problems, problem.atLine(max(lineOf(r.ID()), 1)))
		}
		for _, d := range r.KeyDigests() {
			first := holders[d]
			if first == nil {
				holders[d] = r
				continue
			}
			problem := problemf(code.RuleDuplicate, "key %s belongs to Customer=%s and Customer=%s, want each key once", d, first.Customer, r.Customer)
			problems = append(problems, problem.atLine(max(lineOf(r.ID()), lineOf(first.ID()), 1)))
		}
	}
	return problems
}

// customerIndex finds customers by key and by name. It is immutable.
type customerIndex struct {
	// rules are the rules that the index was built from.
	rules  []*Rule
	byKey  map[KeyDigest]*mustardsaddle.Customer
	byName map[string]*mustardsaddle.Customer
}

// recompile returns the index of other rules, or x itself if they are the same. It returns
// nil if there are none.
func (x *customerIndex) recompile(rules []*Rule) *customerIndex {
	if len(rules) == 0 {
		return nil
	}
	if x != nil && slices.EqualFunc(x.rules, rules, sameRule) {
		return x
	}
	next := &customerIndex{rules: rules, byKey: make(map[KeyDigest]*mustardsaddle.Customer), byName: make(map[string]*mustardsaddle.Customer)}
	for _, r := range rules {
		if r.Part == 0 {
			next.byName[r.Customer] = r.customer()
		}
	}
	shared := make(map[KeyDigest]bool)
	for _, r := range rules {
		for _, d := range r.KeyDigests() {
			next.add(d, r.Customer, shared)
		}
	}
	return next
}

// add adds a key of a customer. A key that two customers hold is shared and identifies
// neither.
func (x *customerIndex) add(d KeyDigest, customer string, shared map[KeyDigest]bool) {
	if first, ok := x.byKey[d]; ok && first.Name != customer {
		shared[d] = true
		delete(x.byKey, d)
	}
	if declared, ok := x.byName[customer]; ok && !shared[d] {
		x.byKey[d] = declared
	}
}

// HasCustomers reports whether the file declares customers, so that requests need a key.
func (t *Table) HasCustomers() bool {
	return t.customers != nil
}

// LimitsCustomers reports whether the file declares a customer with a quota.
func (t *Table) LimitsCustomers() bool {
	if t.customers == nil {
		return false
	}
	for _, c := range t.customers.byName {
		if c.Limited() {
			return true
		}
	}
	return false
}

// CustomerByKey returns the customer that holds a key, or nil if none does. The time that it
// takes does not depend on the number of customers and keys.
func (t *Table) CustomerByKey(key string) *mustardsaddle.Customer {
	if t.customers == nil {
		return nil
	}
	d, ok := DigestKey(key)
	if !ok {
		return nil
	}
	return t.customers.byKey[d]
}

// CustomerByName returns a declared customer, or nil if there is none with the name.
func (t *Table) CustomerByName(name string) *mustardsaddle.Customer {
	if t.customers == nil {
		return nil
	}
	return t.customers.byName[name]
}

// Customers returns the number of declared customers.
func (t *Table) Customers() int {
	if t.customers == nil {
		return 0
	}
	return len(t.customers.byName)
}
