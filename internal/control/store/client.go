// Package store is the client of the platform's object store.
//
// # Usage
//
//	c := store.New(store.Config{URL: "http://127.0.0.1:7000", Timeout: time.Second})
//	o, err := c.Get(ctx, "Rules/Accepted")
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20

// watchWait is how long the platform holds a watch open.
const watchWait = 20 * time.Second

// Config configures a Client.
type Config struct {
	// URL is the base address of the platform.
	URL string
	// Timeout bounds each call other than a watch.
	Timeout time.Duration
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ mustardsaddle.Store = (*Client)(nil)

// New returns a Client. It opens no connection.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{}}
}

// Get reads the newest version of an object.
func (c *Client) Get(ctx context.Context, key string) (mustardsaddle.Object, error) {
	return c.read(ctx, key, "")
}

// GetVersion reads an old version of an object.
func (c *Client) GetVersion(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	return c.read(ctx, key, "?version="+strconv.FormatInt(version, 10))
}

// Watch waits until the object is newer than version.
func (c *Client) Watch(ctx context.Context, key string, version int64) (mustardsaddle.Object, error) {
	query := fmt.Sprintf("?after=%d&wait=%s", version, watchWait)
	ctx, cancel := context.WithTimeout(ctx, watchWait+c.cfg.Timeout)
	defer cancel()
	return c.object(ctx, key, query)
}

func (c *Client) read(ctx context.Context, key, query string) (mustardsaddle.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.object(ctx, key, query)
}

func (c *Client) object(ctx context.Context, key, query string) (mustardsaddle.Object, error) {
	status, header, body, err := c.call(ctx, http.MethodGet, "/objects/"+key+query, nil, nil)
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	if status == http.StatusNotFound {
		return mustardsaddle.Object{Key: key}, nil
	}
	if status != http.StatusOK {
		return mustardsaddle.Object{}, code.Errorf(code.StoreRefused, "read %s: got status %d, want 200", key, status)
	}
	version, err := parseETag(header.Get("ETag"))
	if err != nil {
		return mustardsaddle.Object{}, err
	}
	return mustardsaddle.Object{Key: key, Version: version, Value: body}, nil
}

// Put writes a value if the newest version is still the given one.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, code.Errorf(code.StoreTooLarge, "write %s: got %d bytes, want at most %d", key, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	condition := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		condition = http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
	}
	status, header, _, err := c.call(ctx, http.MethodPut, "/objects/"+key, condition, value)
	if err != nil {
		return 0, err
	}
	if status == http.StatusPreconditionFailed {
		return 0, code.Errorf(code.StoreConflict, "write %s: version %d is not the newest", key, version)
	}
	if status != http.StatusOK {
		return 0, code.Errorf(code.StoreRefused, "write %s: got status %d, want 200", key, status)
	}
	return parseETag(header.Get("ETag"))
}

// List returns the keys below a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]mustardsaddle.Object, error) {
	var objects []mustardsaddle.Object
	err := c.decode(ctx, "/objects?prefix="+url.QueryEscape(prefix), &objects)
	return objects, err
}

// Machines reads the platform's lagging list of VMs.
func (c *Client) Machines(ctx context.Context) ([]mustardsaddle.Machine, error) {
	var machines []mustardsaddle.Machine
	err := c.decode(ctx, "/machines", &machines)
	return machines, err
}

func (c *Client) decode(ctx context.Context, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	status, _, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return code.Errorf(code.StoreRefused, "read %s: got status %d, want 200", path, status)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return code.Wrapf(code.StoreBadObject, err, "decode %s", path)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, value []byte) (int, http.Header, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(value))
	if err != nil {
		return 0, nil, nil, code.Wrapf(code.StoreRefused, err, "%s %s", method, path)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, nil, code.Wrapf(code.StoreUnavailable, err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return 0, nil, nil, code.Wrapf(code.StoreUnavailable, err, "%s %s", method, path)
	}
	if len(body) > MaxValueBytes {
		return 0, nil, nil, code.Errorf(code.StoreTooLarge, "%s %s: answer is larger than %d bytes", method, path, MaxValueBytes)
	}
	return resp.StatusCode, resp.Header, body, nil
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
