package mustardsaddle

import (
	"context"
	"time"
)

// Object is one version of an object in the platform's store.
type Object struct {
	// Key names the object, for example "Rules/Accepted".
	Key string
	// Version is the store's version of the value: it grows with each write of
	// the key. Version 0 means that the object does not exist.
	Version int64
	// Value is the content.
	Value []byte
}

// Store is the platform's object store. Every method returns an error whose
// code.Of gives the result code; none waits longer than its context.
type Store interface {
	// Get reads the newest version. A missing object has version 0.
	Get(ctx context.Context, key string) (Object, error)
	// GetVersion reads an old version of an object.
	GetVersion(ctx context.Context, key string, version int64) (Object, error)
	// Put writes the value if the newest version is still the given one, and
	// returns the new version. Version 0 creates. An error other than
	// code.StoreConflict or a refusal leaves it unknown whether the write took
	// effect.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// List returns the keys below a prefix, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object is newer than version, and returns it. When
	// the platform's wait ends without a change it returns an object of the given
	// version without its value.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Machines reads one page of the platform's lagging list of VMs: the endpoint
	// servers of a service, or the gateway VMs for an empty service. A page whose
	// version is still the known one comes back without its VMs.
	Machines(ctx context.Context, service, known string) (Page, error)
}

// Page is one page of the platform's list of VMs.
type Page struct {
	// Version changes whenever the page does.
	Version string
	// Changed is false if the version is the one that the reader knew.
	Changed bool
	// Machines are the VMs of the page.
	Machines []Machine
}

// Machine is one line of the platform's list of VMs, gateways and endpoint
// servers alike. The list lags behind the truth.
type Machine struct {
	Name        string
	Incarnation int64
	Zone        string
	// Service is the service of an endpoint server; empty for a gateway VM.
	Service string
	// Address is where requests go; for a gateway VM, where peers link.
	Address     string
	Slots       int
	Connections int
	Leaving     bool
	// WarmUp is how much longer the VM is slow after its start.
	WarmUp time.Duration
}
