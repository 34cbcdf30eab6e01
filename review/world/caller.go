package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// newClient returns a client of one caller.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// newRequest returns a request to a gateway, which does not end with the case.
func newRequest(ctx context.Context, g *gatewayProcess, method, path, id string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(context.WithoutCancel(ctx), method, "http://"+g.front+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Host = callerHost
	r.Header.Set(requestIDHeader, id)
	return r, nil
}

// usualPath is the path of a usual booking.
const usualPath = bookingPrefix + "lathe"

// booking is a booking through a gateway, with its path, its ID and the milliseconds that its
// caller waits.
type booking struct {
	gateway            *gatewayProcess
	path, id, deadline string
}

// bookOnce sends a booking and returns the status of the answer; 0 if there is none.
func bookOnce(ctx context.Context, rec *record, client *http.Client, b booking) int {
	rec.add("sent", "request=%s gateway=%s path=%s", b.id, b.gateway.name, b.path)
	status, err := sendBooking(ctx, client, b)
	end := fmt.Sprintf("status=%d", status)
	if err != nil {
		end += fmt.Sprintf(" error=%q", err)
	}
	rec.add("answered", "request=%s %s", b.id, end)
	return status
}

func sendBooking(ctx context.Context, client *http.Client, b booking) (int, error) {
	r, err := newRequest(ctx, b.gateway, http.MethodPost, b.path, b.id)
	if err != nil {
		return 0, err
	}
	r.Header.Set(deadlineHeader, b.deadline)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
