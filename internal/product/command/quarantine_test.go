package command_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/product/command"
)

// TestQuarantineCommand checks the list of requests and the release of one.
func TestQuarantineCommand(t *testing.T) {
	digest := strings.Repeat("ab", 16)
	var released string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"Digest": "` + digest + `", "Service": "Booking", "State": "Quarantined",
			"Servers": [{"Name": "booking-01"}, {"Name": "booking-02"}], "Retests": 1, "Age": 2.5, "Wait": 7.5}]`))
	})
	mux.HandleFunc("DELETE /quarantine/{digest}", func(w http.ResponseWriter, r *http.Request) {
		if released != "" {
			http.Error(w, "Code=8002", http.StatusNotFound)
			return
		}
		released = r.PathValue("digest")
		w.WriteHeader(http.StatusNoContent)
	})
	gateway := httptest.NewServer(mux)
	defer gateway.Close()
	address := gateway.Listener.Addr().String()
	cases := []struct {
		line   string
		status command.Status
		want   string
	}{
		{"quarantine " + address, command.Done, digest + "  Booking  Quarantined  booking-01,booking-02  1        2.5s  7.5s"},
		{"quarantine " + address + " --release " + digest, command.Done, "released " + digest},
		{"quarantine " + address + " --release " + digest, command.Failed, "the gateway answered 404: Code=8002"},
		{"quarantine " + address + " --release ab", command.Usage, `got "ab", want 32 hexadecimal digits`},
		{"quarantine", command.Usage, "ADDRESS"},
		{"quarantine 127.0.0.1:1", command.Failed, "can't reach the gateway"},
	}
	for _, c := range cases {
		status, stdout, stderr := run("", c.line, nil)
		if status != c.status || !strings.Contains(stdout+stderr, c.want) {
			t.Errorf("%s: got status %v, output %q, errors %q, want status %v and %q", c.line, status, stdout, stderr, c.status, c.want)
		}
	}
	if released != digest {
		t.Errorf("got %q released, want %q", released, digest)
	}
}
