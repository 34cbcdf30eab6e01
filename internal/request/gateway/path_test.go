package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// TestPathIsForwardedAsStated guards against a server that receives another path or query than
// the caller has sent, because net/url re-encodes a path with characters that it would encode.
func TestPathIsForwardedAsStated(t *testing.T) {
	received := make(chan string, 1)
	s := newCountingServer(t, func(_ http.ResponseWriter, r *http.Request) { received <- r.RequestURI })
	front, _ := newGateway(t, gateway.Config{}, s.address())
	for _, target := range []string{
		"/a", "/a/", "//a", "/a%20b", "/a%2fb", "/a%2Fb/{Name}", "/{Name}", "/a|b", "/a\"b", "/<a>^`", "/é", "/%C3%A9/é", "/a#b", "/a;b,c=d", "/a?", "/a?b=%zz&c={d}|", "/%7Ea/|?q=//x", "/*",
	} {
		conn, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: sheds.example\r\nConnection: close\r\n\r\n", target)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: got %v and error %v, want a response with status 200", target, resp, err)
		} else if got := <-received; got != target {
			t.Errorf("%s: the server received %s", target, got)
		}
		_ = conn.Close()
	}
}
