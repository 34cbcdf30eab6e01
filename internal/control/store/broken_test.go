package store_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// newBrokenPlatform returns a client for a platform that calls answer for each request, and closes
// the connection unless that returns true.
func newBrokenPlatform(t *testing.T, answer func(c *net.TCPConn) (keep bool)) *store.Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil || !answer(c.(*net.TCPConn)) {
						return
					}
				}
			}()
		}
	}()
	c := store.New(store.Config{URL: "http://" + ln.Addr().String(), Timeout: 5 * time.Second, Fleet: 1})
	t.Cleanup(c.Close)
	return c
}

// TestBrokenHeadIsNoObject guards against a response of the platform whose head is broken being
// read as an object, maybe with another value than the platform's.
func TestBrokenHeadIsNoObject(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nwood",
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length : 2\r\n\r\nwood",
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nETag: \"7\"\r\nContent-Length: 4\r\n\r\nwood",
	} {
		c := newBrokenPlatform(t, func(conn *net.TCPConn) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		if o, err := c.Get(context.Background(), "Rules/Accepted"); err == nil {
			t.Errorf("%q: got version %d with value %q, want an error", head, o.Version, o.Value)
		}
	}
}

// TestResetIsNoEndOfAnAnswer guards against the answer to a write that is still being sent being
// read as a whole one although the platform has reset the connection.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	const plays = 40
	value := make([]byte, store.MaxValueBytes)
	whole := 0
	for range plays {
		c := newBrokenPlatform(t, func(conn *net.TCPConn) bool {
			_ = conn.SetReadBuffer(4 << 10)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
			return false
		})
		if _, err := c.Put(context.Background(), "Rules/Submitted", value, 6); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("got %d of %d answers that are reset as whole ones, want none", whole, plays)
	}
}

// TestAnswerBeforeItsRequestIsNoObject guards against bytes behind an answer of the platform being
// read as the answer to the next request on the connection.
func TestAnswerBeforeItsRequestIsNoObject(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 3\r\n\r\nown"
	const other = "HTTP/1.1 200 OK\r\nETag: \"8\"\r\nContent-Length: 5\r\n\r\nother"
	const clients, callers, calls = 10, 4, 90
	var others atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		c := newBrokenPlatform(t, func(conn *net.TCPConn) bool {
			_, err := io.WriteString(conn, own+other)
			return err == nil
		})
		get := func() {
			for range calls {
				if o, err := c.Get(context.Background(), "Rules/Accepted"); err == nil && string(o.Value) != "own" {
					others.Add(1)
				}
			}
		}
		for range callers {
			wg.Go(get)
		}
	}
	wg.Wait()
	if n := others.Load(); n > 0 {
		t.Errorf("got %d answers that came before their requests, want none", n)
	}
}
