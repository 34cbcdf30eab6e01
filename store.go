package mustardsaddle

import "context"

// Object is one version of an object in the platform's store.
type Object struct {
	// Key identifies the object, for example "Rules/Accepted".
	Key string
	// Version is the store's version of the value. It grows with each write to the
	// key. Version 0 means that the object does not exist.
	Version int64
	// Value is the content of the object.
	Value []byte
}

// Store is the platform's object store. Every returned error has a result code, which
// code.Of gives. No method waits longer than its context.
type Store interface {
	// Get reads the newest version. A missing object has version 0.
	Get(ctx context.Context, key string) (Object, error)
	// GetVersion reads an old version of an object.
	GetVersion(ctx context.Context, key string, version int64) (Object, error)
	// Put writes the value if the newest version is still the given one, and
	// returns the new version. Version 0 creates the object. After any error except
	// code.StoreConflict or a refusal, it is unknown whether the write took effect.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// List returns the keys with a prefix, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object is newer than version and returns it. If the
	// platform's wait ends without a change, it returns an object of the given
	// version without its value.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Machines reads one page of the platform's list of VMs, which lags behind the
	// actual state: the endpoint servers of a service, or the gateway VMs for an
	// empty service. If the version of the page is still the known one, the page is
	// returned without its VMs.
	Machines(ctx context.Context, service, known string) (Page, error)
}

// Page is one page of the platform's list of VMs.
type Page struct {
	// Version changes whenever the page does.
	Version string
	// Changed is false if the page still has the version that the reader knows.
	Changed bool
	// Machines holds the VMs of the page.
	Machines []Machine
	// Skipped holds one error for each entry that could not be used.
	Skipped []error
}
