package news

import (
	"cmp"
	"slices"
)

// Generation says which generation of the rules a gateway VM has in force.
type Generation struct {
	// Name is the name of the VM.
	Name string
	// Generation is the generation in force there.
	Generation int64
}

// Told keeps which generation each gateway VM is known to have in force, and what
// of that is still to be passed on. Of two generations of a VM the higher one
// stays, so that the order in which they are heard does not matter, and passing
// on ends when every gateway knows them. It is not safe for concurrent use.
type Told struct {
	known map[string]int64
	fresh map[string]bool
}

// NewTold returns a Told that knows nothing.
func NewTold() *Told {
	return &Told{known: make(map[string]int64), fresh: make(map[string]bool)}
}

// Learn takes what was heard of a VM. Generation 0 means that it has none.
func (t *Told) Learn(name string, generation int64) {
	if generation > t.known[name] {
		t.known[name] = generation
		t.fresh[name] = true
	}
}

// Of returns the generation of a VM, 0 if unknown.
func (t *Told) Of(name string) int64 {
	return t.known[name]
}

// Keep forgets the VMs that are not live.
func (t *Told) Keep(live func(name string) bool) {
	for name := range t.known {
		if !live(name) {
			delete(t.known, name)
			delete(t.fresh, name)
		}
	}
}

// Fresh returns what was learned since the last call, ordered by name.
func (t *Told) Fresh() []Generation {
	var out []Generation
	for name := range t.fresh {
		out = append(out, Generation{Name: name, Generation: t.known[name]})
	}
	clear(t.fresh)
	slices.SortFunc(out, func(a, b Generation) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// SplitGenerations returns messages that together hold all generations.
func SplitGenerations(generations []Generation) []Generations {
	var parts []Generations
	for part := range slices.Chunk(generations, MaxMarks) {
		parts = append(parts, Generations{VMs: part})
	}
	return parts
}
