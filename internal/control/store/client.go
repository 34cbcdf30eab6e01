// Package store is the client of the platform's object store. It keeps every
// call inside a time limit, the gateway's share of the platform's rates, and a
// circuit breaker that pauses after failures. It never repeats a call by itself:
// each caller knows whether its call is worth repeating.
//
// # Usage
//
//	c := store.New(store.Config{URL: "http://127.0.0.1:7000", Timeout: time.Second})
//	o, err := c.Get(ctx, "Rules/Accepted")
//	c.SetFleet(17)
//	status := c.For(store.Status)
//
// The decisions, in Breaker and Budget, take the present time as an argument.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20

const (
	// watchWait is how long the platform holds a watch open.
	watchWait = 20 * time.Second
	// defaultTimeout bounds a call other than a watch.
	defaultTimeout = 2 * time.Second
	// defaultFleet is the number of gateways until SetFleet says otherwise.
	defaultFleet = 17
	// failuresToOpen is how many failures in a row open the circuit breaker.
	failuresToOpen = 3
	// maxConnections bounds the connections to the platform.
	maxConnections = 16
)

// Config configures a Client.
type Config struct {
	// URL is the base address of the platform.
	URL string
	// Timeout bounds each call other than a watch; 0 means 2 s.
	Timeout time.Duration
	// Rates are the calls per second of the whole fleet; 0 means 400 reads and
	// 100 writes, a fifth of what the platform takes.
	Rates Rates
	// Fleet is the number of gateways that share the rates; 0 means 17.
	Fleet int
	// Backoff is the circuit breaker's pause; 0 means 200 ms to 3 s.
	Backoff Backoff
	// Seed seeds the jitter.
	Seed uint64
}

// withDefaults returns a copy of cfg with its zero values replaced.
func (cfg Config) withDefaults() Config {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Rates == (Rates{}) {
		cfg.Rates = Rates{Reads: 400, Writes: 100}
	}
	if cfg.Fleet == 0 {
		cfg.Fleet = defaultFleet
	}
	if cfg.Backoff == (Backoff{}) {
		cfg.Backoff = Backoff{Base: 200 * time.Millisecond, Max: 3 * time.Second}
	}
	return cfg
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	core *core
	// use says what its calls are for.
	use Use
}

// core is what the clients of all uses share.
type core struct {
	mu      sync.Mutex
	rng     *rand.Rand
	breaker *Breaker
	budget  *Budget
	stats   Stats
}

var _ mustardsaddle.Store = (*Client)(nil)

// New returns a Client. It opens no connection.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:  cfg,
		http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}},
		core: &core{
			rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
			breaker: NewBreaker(failuresToOpen, cfg.Backoff),
			budget:  NewBudget(cfg.Rates, cfg.Fleet),
		},
	}
}

// For returns a client for one use, which shares everything with c. A client serves
// the rules unless it is made for another use.
func (c *Client) For(use Use) *Client {
	other := *c
	other.use = use
	return &other
}

// SetFleet sets how many gateways share the platform's rates.
func (c *Client) SetFleet(n int) {
	c.core.mu.Lock()
	defer c.core.mu.Unlock()
	c.core.budget.SetFleet(time.Now(), n)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads the newest version of an object.
func (c *Client) Get(ctx context.Context, key string) (mustardsaddle.Object, error) {
	return c.object(ctx, Request{Kind: Reading, Path: objectPath(key)}, key, 0)
}

// GetVersion reads an old version of an object.
func (c *Client) GetVersion(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	path := objectPath(key) + "?version=" + strconv.FormatInt(version, 10)
	return c.object(ctx, Request{Kind: Reading, Path: path}, key, 0)
}

// Watch waits until the object is newer than version. When the wait ends without
// a change the object has the given version and no value.
func (c *Client) Watch(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	path := fmt.Sprintf("%s?after=%d&wait=%s", objectPath(key), version, watchWait)
	return c.object(ctx, Request{Kind: Watching, Path: path, Wait: watchWait}, key, version)
}

func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

func (c *Client) object(ctx context.Context, q Request, key string, version int64) (mustardsaddle.Object, error) {
	a, err := c.Call(ctx, q)
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	switch a.Status {
	case http.StatusNotFound:
		return mustardsaddle.Object{Key: key}, nil
	case http.StatusNotModified:
		return mustardsaddle.Object{Key: key, Version: version}, nil
	}
	found, err := parseETag(a.Header.Get("ETag"))
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	return mustardsaddle.Object{Key: key, Version: found, Value: a.Body}, nil
}

// Put writes a value if the newest version is still the given one.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, code.Errorf(code.StoreTooLarge, "write %s: got %d bytes, want at most %d", key, len(value), MaxValueBytes)
	}
	condition := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		condition = http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
	}
	a, err := c.Call(ctx, Request{Kind: Writing, Path: objectPath(key), Header: condition, Value: value})
	if err != nil {
		return 0, err
	}
	return parseETag(a.Header.Get("ETag"))
}

// List returns the keys below a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]mustardsaddle.Object, error) {
	var objects []mustardsaddle.Object
	err := c.decode(ctx, "/objects?prefix="+url.QueryEscape(prefix), &objects)
	return objects, err
}

// Machines reads one page of the platform's lagging list of VMs.
func (c *Client) Machines(ctx context.Context, service, known string) (mustardsaddle.Page, error) {
	path := "/machines?service=" + url.QueryEscape(service)
	header := http.Header{}
	if known != "" {
		header.Set("If-None-Match", known)
	}
	a, err := c.Call(ctx, Request{Kind: Reading, Path: path, Header: header})
	if err != nil {
		return mustardsaddle.Page{}, err
	}
	if a.Status == http.StatusNotModified {
		return mustardsaddle.Page{Version: known}, nil
	}
	page := mustardsaddle.Page{Version: a.Header.Get("ETag"), Changed: true}
	if err := json.Unmarshal(a.Body, &page.Machines); err != nil {
		return mustardsaddle.Page{}, code.Wrapf(code.StoreBadObject, err, "decode %s", path)
	}
	return page, nil
}

func (c *Client) decode(ctx context.Context, path string, v any) error {
	a, err := c.Call(ctx, Request{Kind: Reading, Path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.Body, v); err != nil {
		return code.Wrapf(code.StoreBadObject, err, "decode %s", path)
	}
	return nil
}

func parseETag(etag string) (int64, error) {
	text, err := strconv.Unquote(etag)
	if err != nil {
		return 0, code.Errorf(code.StoreBadObject, "got ETag %q, want a quoted version", etag)
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, code.Errorf(code.StoreBadObject, "got ETag %q, want a quoted version", etag)
	}
	return version, nil
}
