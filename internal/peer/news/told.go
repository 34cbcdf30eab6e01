package news

import (
	"cmp"
	"slices"
)

// Generation states which generation of the rules a gateway VM has in force.
type Generation struct {
	// Name is the name of the VM.
	Name string
	// Generation is the generation in force on the VM.
	Generation int64
}

// GenerationTracker tracks which generation each gateway VM is known to have in
// force, and which entries are still to be forwarded. Entries of one VM merge by
// maximum, so the order of their arrival does not matter, and forwarding ends when
// every gateway has the same entries. It is not safe for concurrent use.
type GenerationTracker struct {
	generations map[string]int64
	pending     map[string]bool
}

// NewGenerationTracker returns a GenerationTracker without entries.
func NewGenerationTracker() *GenerationTracker {
	return &GenerationTracker{generations: make(map[string]int64), pending: make(map[string]bool)}
}

// Merge merges the reported generation of a VM. Generation 0 means that the VM has
// no rules in force.
func (t *GenerationTracker) Merge(name string, generation int64) {
	if generation > t.generations[name] {
		t.generations[name] = generation
		t.pending[name] = true
	}
}

// Generation returns the generation of a VM, 0 if unknown.
func (t *GenerationTracker) Generation(name string) int64 {
	return t.generations[name]
}

// Retain removes the VMs for which live returns false.
func (t *GenerationTracker) Retain(live func(name string) bool) {
	for name := range t.generations {
		if !live(name) {
			delete(t.generations, name)
			delete(t.pending, name)
		}
	}
}

// TakeChanged returns the entries that changed since the last call, ordered by
// name.
func (t *GenerationTracker) TakeChanged() []Generation {
	var changed []Generation
	for name := range t.pending {
		changed = append(changed, Generation{Name: name, Generation: t.generations[name]})
	}
	clear(t.pending)
	slices.SortFunc(changed, func(a, b Generation) int { return cmp.Compare(a.Name, b.Name) })
	return changed
}

// SplitGenerations divides generations into messages of at most MaxMarks entries
// each.
func SplitGenerations(generations []Generation) []Generations {
	var parts []Generations
	for part := range slices.Chunk(generations, MaxMarks) {
		parts = append(parts, Generations{VMs: part})
	}
	return parts
}
