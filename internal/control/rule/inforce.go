package rule

import (
	"fmt"
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// VM states the generation in force on one gateway VM.
type VM struct {
	// Name is the name of the gateway VM.
	Name string
	// Generation is the generation in force on that VM.
	Generation int64
}

// String returns v as a header line.
func (v VM) String() string {
	return fmt.Sprintf("%s%s Generation=%d", vmPrefix, v.Name, v.Generation)
}

func parseVM(s string) (VM, error) {
	name, text, ok := strings.Cut(strings.TrimPrefix(s, vmPrefix), " Generation=")
	n, valid := parseNumber(text)
	if !ok || !valid || name == "" {
		return VM{}, code.Errorf(code.StoreBadObject, "parse VM line: got %q, want a line such as %sgateway-1 Generation=41", s, vmPrefix)
	}
	return VM{Name: name, Generation: n}, nil
}

// InForce is the content of the stored object Rules/InForce, the status report for
// operators: the newest accepted file, the generation in force on each gateway VM, and
// recent refusals. An InForce is immutable.
type InForce struct {
	// Accepted is the newest accepted state known to the writer.
	Accepted Accepted
	// VMs are the gateway VMs, sorted by name.
	VMs []VM
}

// ParseInForce parses Rules/InForce. Its errors have the codes of ParseAccepted.
func ParseInForce(text string) (InForce, error) {
	h, file, err := parseObject(kindInForce, text)
	if err != nil {
		return InForce{}, err
	}
	a := Accepted{File: file, Submission: h.submission, At: h.at, Refusals: h.refusals}
	return InForce{Accepted: a}.WithVMs(h.vms), nil
}

// Format returns the object's stored text.
func (f InForce) Format() string {
	var b strings.Builder
	a := f.Accepted
	h := header{submission: a.Submission, at: a.At, vms: f.VMs, refusals: a.Refusals}
	h.write(&b, kindInForce, a.File.Generation)
	a.File.writeBody(&b)
	return b.String()
}

// WithAccepted returns a copy of f with the given state if it is newer than that of
// f, and f unchanged otherwise.
func (f InForce) WithAccepted(a Accepted) InForce {
	if a.Submission > f.Accepted.Submission || a.File.Generation > f.Accepted.File.Generation {
		f.Accepted = a
	}
	return f
}

// WithVMs returns a copy of f with the given VMs merged in. For a VM that f already
// has, the higher generation is kept.
func (f InForce) WithVMs(vms []VM) InForce {
	f.VMs = slices.Clone(f.VMs)
	for _, vm := range vms {
		i, found := slices.BinarySearchFunc(f.VMs, vm.Name, compareVM)
		if !found {
			f.VMs = slices.Insert(f.VMs, i, vm)
		} else if vm.Generation > f.VMs[i].Generation {
			f.VMs[i] = vm
		}
	}
	return f
}

func compareVM(v VM, name string) int {
	return strings.Compare(v.Name, name)
}

// FilterVMs returns a copy of f with only the VMs for which keep returns true.
func (f InForce) FilterVMs(keep func(name string) bool) InForce {
	f.VMs = slices.DeleteFunc(slices.Clone(f.VMs), func(v VM) bool { return !keep(v.Name) })
	return f
}

// Covers reports whether f is at least as new as the given accepted state and the
// given VMs' generations.
func (f InForce) Covers(a Accepted, vms []VM) bool {
	if a.Submission > f.Accepted.Submission || a.File.Generation > f.Accepted.File.Generation {
		return false
	}
	for _, vm := range vms {
		i, found := slices.BinarySearchFunc(f.VMs, vm.Name, compareVM)
		if !found || f.VMs[i].Generation < vm.Generation {
			return false
		}
	}
	return true
}
