package command

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// adminTimeout bounds a request to the admin address of a gateway.
	adminTimeout = 5 * time.Second
	// maxAdminBytes bounds its response.
	maxAdminBytes = 16 << 20
)

// sendAdmin sends a request to the admin address of a gateway, and returns the body of the
// response.
func sendAdmin(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, StatusErrorf(Usage, "got address %q: %v", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, StatusErrorf(Failed, "can't reach the gateway: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if err != nil {
		return nil, StatusErrorf(Failed, "can't read the response of the gateway: %v", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, StatusErrorf(Failed, "the gateway answered %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}
