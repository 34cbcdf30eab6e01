package identity_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/identity"
)

// digest returns the digest of a request, whose body is written in parts of the given size.
func digest(r *http.Request, host, body string, part int) mustardsaddle.RequestDigest {
	h := identity.New(r, identity.Scope{Host: host, CallerHeader: "Customer"})
	_, _ = io.CopyBuffer(struct{ io.Writer }{h}, struct{ io.Reader }{strings.NewReader(body)}, make([]byte, part))
	return h.Sum()
}

// TestSameWork checks which differences between requests matter.
func TestSameWork(t *testing.T) {
	type request struct {
		method, url, host, ruleHost, customer, other, body string
	}
	base := request{method: "POST", url: "/bookings/a?x=1", host: "sheds.example", ruleHost: "sheds.example", customer: "c1", body: "Lathe=2"}
	long := strings.Repeat("x", identity.MaxBodyBytes)
	with := func(change func(*request)) request {
		r := base
		change(&r)
		return r
	}
	tests := []struct {
		name string
		r    request
		same bool
	}{
		{"no difference", base, true},
		{"another header", with(func(r *request) { r.other = "1" }), true},
		{"host that the rule does not require", with(func(r *request) { r.host = "gateway-1:8080" }), true},
		{"escaped path", with(func(r *request) { r.url = "/bookings/%61?x=1" }), true},
		{"escaped query", with(func(r *request) { r.url = "/bookings/a?x=%31" }), true},
		{"method", with(func(r *request) { r.method = "PUT" }), false},
		{"path", with(func(r *request) { r.url = "/bookings/b?x=1" }), false},
		{"query", with(func(r *request) { r.url = "/bookings/a?x=2" }), false},
		{"query as path", with(func(r *request) { r.url = "/bookings/ax=1" }), false},
		{"host of the rule", with(func(r *request) { r.ruleHost = "others.example" }), false},
		{"caller", with(func(r *request) { r.customer = "c2" }), false},
		{"body", with(func(r *request) { r.body = "Lathe=3" }), false},
		{"no body", with(func(r *request) { r.body = "" }), false},
	}
	sum := func(r request, part int) mustardsaddle.RequestDigest {
		req := httptest.NewRequest(r.method, r.url, http.NoBody)
		req.Host = r.host
		req.Header.Set("Customer", r.customer)
		req.Header.Set("Other", r.other)
		return digest(req, r.ruleHost, r.body, part)
	}
	want := sum(base, 64)
	for _, tt := range tests {
		for _, part := range []int{1, 3, 64} {
			if got := sum(tt.r, part); (got == want) != tt.same {
				t.Errorf("%s, parts of %d bytes: got same %t, want %t", tt.name, part, got == want, tt.same)
			}
		}
	}
	a, b := with(func(r *request) { r.body = long + "a" }), with(func(r *request) { r.body = long + "b" })
	if sum(a, 1000) != sum(b, 1000) {
		t.Errorf("bodies that differ after %d bytes: got different digests", identity.MaxBodyBytes)
	}
}

func BenchmarkRequestWithoutBody(b *testing.B) {
	r := httptest.NewRequest(http.MethodGet, "/rosters/tools/lathes?day=2026-12-04", http.NoBody)
	for b.Loop() {
		_ = identity.New(r, identity.Scope{}).Sum()
	}
}

func BenchmarkBody(b *testing.B) {
	r := httptest.NewRequest(http.MethodPost, "/bookings", http.NoBody)
	body := make([]byte, identity.MaxBodyBytes)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		h := identity.New(r, identity.Scope{})
		_, _ = h.Write(body)
		_ = h.Sum()
	}
}

func FuzzParseRequestDigest(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff")
	f.Add("0011")
	f.Add("zz112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := mustardsaddle.ParseRequestDigest(text)
		if err == nil && d.String() != strings.ToLower(text) {
			t.Errorf("got %s from %q", d, text)
		}
	})
}
