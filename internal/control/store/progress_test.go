package store_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// TestLargeResponseOverSlowLink guards against a client that never gets an object whose transfer takes longer
// than the timeout, so that a gateway with a slow link cannot read the rules.
func TestLargeResponseOverSlowLink(t *testing.T) {
	const (
		timeout = 200 * time.Millisecond
		maxTook = 10 * time.Second
		part    = 1000
	)
	for _, tt := range []struct {
		name string
		// parts are sent with a pause after each of them, and the rest never.
		parts, stated int
		pause         time.Duration
		want          code.Code
		least, most   time.Duration
	}{
		{"arrives within the timeout", 2, 2, 10 * time.Millisecond, code.OK, 0, maxTook},
		{"arrives slowly", 10, 10, timeout / 4, code.OK, 2 * timeout, maxTook},
		{"stands still", 2, 10, timeout / 4, code.StoreUnavailable, timeout, maxTook},
		{"never ends", 1000, 1000, timeout / 4, code.StoreUnavailable, 5 * timeout, maxTook},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("ETag", `"1"`)
				w.Header().Set("Content-Length", strconv.Itoa(tt.stated*part))
				for range tt.parts {
					if _, err := w.Write(bytes.Repeat([]byte("r"), part)); err != nil {
						return
					}
					_ = http.NewResponseController(w).Flush()
					time.Sleep(tt.pause)
				}
				if tt.parts < tt.stated {
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			c := store.New(store.Config{URL: server.URL, Timeout: timeout, Fleet: 1})
			defer c.Close()
			begun := time.Now()
			o, err := c.Get(context.Background(), "Rules/Accepted")
			took := time.Since(begun)
			if code.Of(err) != tt.want || err == nil && len(o.Value) != tt.stated*part {
				t.Fatalf("got %d bytes and error %v, want code %v", len(o.Value), err, tt.want)
			}
			if took < tt.least {
				t.Errorf("ended after %v, want at least %v", took, tt.least)
			}
			if took > tt.most {
				t.Errorf("ended after %v, want at most %v", took, tt.most)
			}
		})
	}
}
