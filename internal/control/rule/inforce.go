package rule

import (
	"fmt"
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// VM is the generation that one gateway VM has in force.
type VM struct {
	// Name is the name of the gateway VM.
	Name string
	// Generation is the generation in force there.
	Generation int64
}

// String returns the header line of v.
func (v VM) String() string {
	return fmt.Sprintf("%s%s Generation=%d", vmPrefix, v.Name, v.Generation)
}

func parseVM(s string) (VM, error) {
	name, text, ok := strings.Cut(strings.TrimPrefix(s, vmPrefix), " Generation=")
	n, valid := parseNumber(text)
	if !ok || !valid || name == "" {
		return VM{}, code.Errorf(code.StoreBadObject, "got %q, want %sgateway-1 Generation=41", s, vmPrefix)
	}
	return VM{Name: name, Generation: n}, nil
}

// InForce is the content of Rules/InForce, which operators read back: the newest
// file, which VMs have it, and what was refused. An InForce is immutable.
type InForce struct {
	// Accepted is the newest accepted state that the writer knew.
	Accepted Accepted
	// VMs are the gateway VMs, by name.
	VMs []VM
}

// ParseInForce reads Rules/InForce. Its errors are those of ParseAccepted.
func ParseInForce(text string) (InForce, error) {
	h, file, err := parseObject(kindInForce, text)
	if err != nil {
		return InForce{}, err
	}
	a := Accepted{File: file, Submission: h.submission, At: h.at, Refusals: h.refusals}
	return InForce{Accepted: a}.WithVMs(h.vms), nil
}

// Format returns the text of the object.
func (f InForce) Format() string {
	var b strings.Builder
	a := f.Accepted
	h := header{submission: a.Submission, at: a.At, vms: f.VMs, refusals: a.Refusals}
	h.write(&b, kindInForce, a.File.Generation)
	a.File.writeBody(&b)
	return b.String()
}

// WithAccepted returns a copy of f with the given state, unless f has a newer one.
func (f InForce) WithAccepted(a Accepted) InForce {
	if a.Submission > f.Accepted.Submission || a.File.Generation > f.Accepted.File.Generation {
		f.Accepted = a
	}
	return f
}

// WithVMs returns a copy of f that also knows the given VMs. Of two generations
// of a VM the higher one stays.
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

// WithOnly returns a copy of f without the VMs that keep does not accept.
func (f InForce) WithOnly(keep func(name string) bool) InForce {
	f.VMs = slices.DeleteFunc(slices.Clone(f.VMs), func(v VM) bool { return !keep(v.Name) })
	return f
}

// Has reports whether f already states everything that the given VMs have.
func (f InForce) Has(a Accepted, vms []VM) bool {
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
