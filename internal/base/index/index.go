// Package index implements a map that is immutable, so that readers need no lock, and of which a
// changed copy costs what has changed and not what the map holds.
//
// # Usage
//
//	e := m.Edit()
//	e.Set("a", 1)
//	e.Delete("b")
//	next := e.Map()
//	v, ok := next.Get("a")
//
// A Map is a hash table whose chains are immutable. A changed copy has a new table of chains, of
// a few bytes for each entry, and shares all entries that are not in front of a changed one.
package index

import "hash/maphash"

const (
	// minChains is the least number of chains. The number of chains is always a power of two.
	minChains = 8
	// maxLoad is the average length of the chains above which their number is doubled.
	maxLoad = 2
)

// Map is an immutable map. The zero value is an empty map. A Map is safe for concurrent use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	chains []*node[K, V]
	n      int
}

// node is an entry and the rest of its chain. A node of a Map is immutable.
type node[K comparable, V any] struct {
	key   K
	value V
	next  *node[K, V]
}

// Get returns the value of a key, or false if the map does not have it.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.n > 0 {
		for n := m.chains[m.chain(key)]; n != nil; n = n.next {
			if n.key == key {
				return n.value, true
			}
		}
	}
	var none V
	return none, false
}

// Len returns the number of entries.
func (m Map[K, V]) Len() int {
	return m.n
}

// chain returns the position of the chain that holds a key.
func (m Map[K, V]) chain(key K) uint64 {
	return maphash.Comparable(m.seed, key) & uint64(len(m.chains)-1)
}

// Edit returns an Editor of a copy of m.
func (m Map[K, V]) Edit() *Editor[K, V] {
	return &Editor[K, V]{m: m}
}

// Editor builds a changed copy of a Map. It is not safe for concurrent use.
type Editor[K comparable, V any] struct {
	m Map[K, V]
	// owned is true if the table of chains is not shared with another map.
	owned bool
}

// Map returns the map with all changes so far. The Editor may be used further.
func (e *Editor[K, V]) Map() Map[K, V] {
	e.owned = false
	return e.m
}

// Get returns the value of a key, or false if the map with all changes so far does not have it.
func (e *Editor[K, V]) Get(key K) (V, bool) {
	return e.m.Get(key)
}

// Reserve prepares for a number of further entries.
func (e *Editor[K, V]) Reserve(n int) {
	chains := max(len(e.m.chains), minChains)
	for e.m.n+n > chains*maxLoad {
		chains *= 2
	}
	if chains > len(e.m.chains) {
		e.rehash(chains)
	}
}

// Set sets the value of a key.
func (e *Editor[K, V]) Set(key K, value V) {
	e.Delete(key)
	e.Reserve(1)
	e.own()
	i := e.m.chain(key)
	e.m.chains[i] = &node[K, V]{key: key, value: value, next: e.m.chains[i]}
	e.m.n++
}

// Delete removes a key, if the map has it.
func (e *Editor[K, V]) Delete(key K) {
	if _, ok := e.m.Get(key); !ok {
		return
	}
	e.own()
	i := e.m.chain(key)
	e.m.chains[i] = without(e.m.chains[i], key)
	e.m.n--
}

// without returns a chain without the entry of a key, which it has.
func without[K comparable, V any](n *node[K, V], key K) *node[K, V] {
	if n.key == key {
		return n.next
	}
	return &node[K, V]{key: n.key, value: n.value, next: without(n.next, key)}
}

// own copies the table of chains if it is shared.
func (e *Editor[K, V]) own() {
	if !e.owned {
		e.m.chains = append(make([]*node[K, V], 0, len(e.m.chains)), e.m.chains...)
		e.owned = true
	}
}

// rehash distributes the entries to a number of chains.
func (e *Editor[K, V]) rehash(chains int) {
	old := e.m
	if len(old.chains) == 0 {
		e.m.seed = maphash.MakeSeed()
	}
	e.m.chains, e.owned = make([]*node[K, V], chains), true
	nodes := make([]node[K, V], 0, old.n)
	for _, n := range old.chains {
		for ; n != nil; n = n.next {
			i := e.m.chain(n.key)
			nodes = append(nodes, node[K, V]{key: n.key, value: n.value, next: e.m.chains[i]})
			e.m.chains[i] = &nodes[len(nodes)-1]
		}
	}
}
