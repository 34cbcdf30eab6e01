package header_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

func TestForward(t *testing.T) {
	convey.Convey("Given a request with hop-by-hop headers and a forged reserved header", t, func() {
		r := httptest.NewRequest(http.MethodGet, "http://sheds.example/rosters", http.NoBody)
		r.RemoteAddr = "192.0.2.7:5000"
		for name, value := range map[string]string{
			"Accept": "text/plain", "Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "timeout=5", "Te": "trailers",
			"X-Forwarded-For": "198.51.100.1", header.Outcome: "Ran", "Via": "1.1 front",
		} {
			r.Header.Set(name, value)
		}
		out := header.NewGateway("gateway-1").Forward(r)
		out.Set(header.Attempt, "gateway-1-a-1")
		convey.Convey("Hop-by-hop and forged headers are removed", func() {
			for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", header.Outcome} {
				convey.So(out.Get(name), convey.ShouldBeEmpty)
			}
		})
		convey.Convey("Other headers are forwarded, and forwarding headers are added", func() {
			for name, want := range map[string]string{
				"Accept": "text/plain", "Te": "trailers", "X-Forwarded-For": "198.51.100.1, 192.0.2.7",
				"X-Forwarded-Host": "sheds.example", "X-Forwarded-Proto": "http", "Via": "1.1 front, 1.1 gateway-1",
				header.Attempt: "gateway-1-a-1",
			} {
				convey.So(out.Get(name), convey.ShouldEqual, want)
			}
		})
		convey.Convey("The header of the original request is unchanged", func() {
			convey.So(r.Header.Get("Via"), convey.ShouldEqual, "1.1 front")
			convey.So(r.Header.Get(header.Attempt), convey.ShouldBeEmpty)
		})
	})
}

func TestTrailerNames(t *testing.T) {
	got := header.TrailerNames(http.Header{"Digest": nil, "Content-Length": nil, "Transfer-Encoding": nil})
	if _, ok := got["Digest"]; !ok || len(got) != 1 {
		t.Errorf("got trailers %v, want only Digest", got)
	}
}
