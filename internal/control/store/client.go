// Package store is a client of the platform's object store. It applies a timeout, the
// gateway's share of the platform's rate limits, and a circuit breaker to every call. It
// never retries a call: each caller decides whether to retry.
//
// # Usage
//
//	c := store.New(store.Config{URL: "http://127.0.0.1:7000", Timeout: time.Second})
//	o, err := c.Get(ctx, "Rules/Accepted")
//	c.SetFleet(17)
//	status := c.WithUse(store.Status)
//
// Breaker and Budget make the decisions and take the current time as an argument.
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
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// MaxValueBytes is the maximum size of a value in the platform's store.
const MaxValueBytes = 1 << 20

const (
	// watchWait is how long the platform holds a watch open.
	watchWait = 20 * time.Second
	// defaultTimeout is the default timeout of calls other than watches.
	defaultTimeout = 2 * time.Second
	// defaultFleet is the default fleet size until SetFleet is called.
	defaultFleet = 17
	// failuresToOpen is the number of consecutive failures that opens the circuit
	// breaker.
	failuresToOpen = 3
	// maxConnections is the maximum number of connections to the platform.
	maxConnections = 16
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// freeBodyBytes is the size up to which any number of responses may be read at once, and
	// largeBodyBytes the memory for larger ones. It suffices for two of the largest.
	freeBodyBytes  = 256 << 10
	largeBodyBytes = 8 << 20
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform.
	URL string
	// Timeout is the timeout of calls other than watches, until the header of the response, and
	// then for each part of its body; 0 means 2 s. A body may take six times as long in all.
	Timeout time.Duration
	// Rates are the rate limits of the whole fleet; 0 means 400 reads and 100 writes per
	// second, a fifth of the platform's capacity.
	Rates Rates
	// Fleet is the initial number of gateways that share the rates; 0 means 17.
	Fleet int
	// Backoff configures the delay before an open circuit breaker allows a trial call; 0
	// means 200 ms to 3 s.
	Backoff Backoff
	// Seed seeds the jitter of the backoff.
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
	// use is the purpose of the client's calls.
	use Use
}

// core is the state shared by a client and those derived from it with WithUse.
type core struct {
	mu      sync.Mutex
	rng     *rand.Rand
	breaker *Breaker
	budget  *Budget
	stats   Stats
	// largeBodies is the memory for large responses while they are read.
	largeBodies *buffer.Pool
}

var _ mustardsaddle.Store = (*Client)(nil)

// New returns a Client whose calls have the use Rules. It opens no connection.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg: cfg,
		http: &http.Client{Transport: response.NewTransport(&http.Transport{
			MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}, response.Config{})},
		core: &core{
			rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
			breaker: NewBreaker(failuresToOpen, cfg.Backoff),
			budget:  NewBudget(cfg.Rates, cfg.Fleet),

			largeBodies: buffer.NewPool(largeBodyBytes),
		},
	}
}

// WithUse returns a client for the given use that shares connections, budget, circuit
// breaker and statistics with c.
func (c *Client) WithUse(use Use) *Client {
	other := *c
	other.use = use
	return &other
}

// SetFleet sets the number of gateways that share the rates.
func (c *Client) SetFleet(n int) {
	c.core.mu.Lock()
	defer c.core.mu.Unlock()
	c.core.budget.SetFleet(time.Now(), n)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads the newest version of an object.
func (c *Client) Get(ctx context.Context, key string) (mustardsaddle.Object, error) {
	return c.object(ctx, Request{Kind: Reading, Path: objectPath(key)}, key, 0)
}

// GetVersion reads a specific version of an object.
func (c *Client) GetVersion(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	path := objectPath(key) + "?version=" + strconv.FormatInt(version, 10)
	return c.object(ctx, Request{Kind: Reading, Path: path}, key, 0)
}

// Watch waits until the object is newer than version. If the wait ends without a
// change, the returned object has the given version and no value.
func (c *Client) Watch(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	path := fmt.Sprintf("%s?after=%d&wait=%s", objectPath(key), version, watchWait)
	return c.object(ctx, Request{Kind: Watching, Path: path, Wait: watchWait}, key, version)
}

func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

func (c *Client) object(ctx context.Context, q Request, key string, version int64) (mustardsaddle.Object, error) {
	resp, err := c.Call(ctx, q)
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	switch resp.Status {
	case http.StatusNotFound:
		return mustardsaddle.Object{Key: key}, nil
	case http.StatusNotModified:
		return mustardsaddle.Object{Key: key, Version: version}, nil
	}
	current, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	return mustardsaddle.Object{Key: key, Version: current, Value: resp.Body}, nil
}

// Put writes a value on the condition that the current version is the given one, where 0
// means that the object does not exist. It returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, code.Errorf(code.StoreTooLarge, "write %s: got %d bytes, want at most %d", key, len(value), MaxValueBytes)
	}
	condition := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		condition = http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
	}
	resp, err := c.Call(ctx, Request{Kind: Writing, Path: objectPath(key), Header: condition, Body: value})
	if err != nil {
		return 0, err
	}
	return parseETag(resp.Header.Get("ETag"))
}

// List returns the objects whose keys have the given prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]mustardsaddle.Object, error) {
	var objects []mustardsaddle.Object
	err := c.decode(ctx, "/objects?prefix="+url.QueryEscape(prefix), &objects)
	return objects, err
}

// Machines reads the platform's list of a service's VMs, which may lag behind. If the
// list still has the known version, the returned page is not marked as changed.
func (c *Client) Machines(ctx context.Context, service, known string) (mustardsaddle.Page, error) {
	path := "/machines?service=" + url.QueryEscape(service)
	header := http.Header{}
	if known != "" {
		header.Set("If-None-Match", known)
	}
	resp, err := c.Call(ctx, Request{Kind: Reading, Path: path, Header: header})
	if err != nil {
		return mustardsaddle.Page{}, err
	}
	if resp.Status == http.StatusNotModified {
		return mustardsaddle.Page{Version: known}, nil
	}
	page := mustardsaddle.Page{Version: resp.Header.Get("ETag"), Changed: true}
	if page.Machines, page.Skipped, err = decodeMachines(resp.Body); err != nil {
		return mustardsaddle.Page{}, code.Wrapf(code.StoreBadObject, err, "decode %s", path)
	}
	return page, nil
}

func (c *Client) decode(ctx context.Context, path string, v any) error {
	resp, err := c.Call(ctx, Request{Kind: Reading, Path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body, v); err != nil {
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
