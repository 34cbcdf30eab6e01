package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// response is the result of a request: an error, or a response with its whole
// body.
type response struct {
	err    error
	status int
	header http.Header
	body   []byte
}

func (r response) ok() bool {
	return r.err == nil && r.status == http.StatusOK
}

// String returns a short description for failure messages.
func (r response) String() string {
	return fmt.Sprintf("status %d, error %v, header %v, %d bytes", r.status, r.err, r.header, len(r.body))
}

func get(url string) response {
	return sendRequest(context.Background(), http.DefaultClient, http.MethodGet, url, nil)
}

// sendRequest sends a request and reads the whole response.
func sendRequest(ctx context.Context, client *http.Client, method, url string, body io.Reader) response {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return response{err: err}
	}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{err: err, status: resp.StatusCode, header: resp.Header, body: b}
}
