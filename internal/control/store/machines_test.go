package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// TestOddMachineHidesNoOthers guards against one unusable entry of another writer keeping a
// gateway from reading the other VMs of a page.
func TestOddMachineHidesNoOthers(t *testing.T) {
	const sound = `{"Name":"a]\"","Incarnation":3,"Service":"Booking","Address":"10.0.0.1:80","Slots":2}`
	cases := []struct{ name, entry string }{
		{"nested very deep", strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
		{"field nested very deep", `{"Name":"b","Address":"10.0.0.1:80","Extra":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}"},
		{"number too large", `{"Name":"b","Address":"10.0.0.1:80","Slots":1e400}`},
		{"slots beyond reason", `{"Name":"b","Address":"10.0.0.1:80","Slots":1099511627776}`},
		{"incarnation beyond 64 bits", `{"Name":"b","Address":"10.0.0.1:80","Incarnation":99999999999999999999}`},
		{"port out of range", `{"Name":"b","Address":"10.0.0.1:70000"}`},
		{"no port", `{"Name":"b","Address":"10.0.0.1"}`},
		{"no name", `{"Address":"10.0.0.1:80"}`},
		{"very long name", `{"Name":"` + strings.Repeat("n", 5000) + `","Address":"10.0.0.1:80"}`},
		{"text", `"b"`},
		{"malformed", `{"Name":`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + sound + "," + c.entry + "," + sound + "]"))
			}))
			defer server.Close()
			client := store.New(store.Config{URL: server.URL, Fleet: 1})
			defer client.Close()
			page, err := client.Machines(context.Background(), "Booking", "")
			sound := 0
			for _, m := range page.Machines {
				if m.Name == `a]"` {
					sound++
				}
			}
			// A brace that is never closed hides what follows it; the page is then refused whole.
			if c.name == "malformed" {
				if err == nil {
					t.Errorf("got %d VMs and no error, want an error", len(page.Machines))
				}
				return
			}
			if err != nil || sound != 2 || len(page.Machines) != 2 || len(page.Skipped) != 1 {
				t.Errorf("got %d VMs, %d of them sound, %d skipped, error %v, want 2, 2, 1 and none", len(page.Machines), sound, len(page.Skipped), err)
			}
		})
	}
}
