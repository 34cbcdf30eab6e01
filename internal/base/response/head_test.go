package response_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// headTest is a text that is received, and the error that has to end it.
type headTest struct {
	name, text string
	want       error
}

// readInSegments reads a text that is received in segments, and returns the error at its end.
func readInSegments(t *testing.T, cfg response.Config, text string, size int) error {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		defer func() { _ = far.Close() }()
		for at := 0; at < len(text); at += size {
			if _, err := io.WriteString(far, text[at:min(at+size, len(text))]); err != nil {
				return
			}
		}
	}()
	c := response.NewConn(near, cfg)
	c.BeginRequest()
	_, err := io.Copy(io.Discard, c)
	if _, again := c.Read(make([]byte, 1)); err != nil && !errors.Is(again, err) {
		t.Errorf("read after error %v: got %v, want the same", err, again)
	}
	return err
}

func checkHeads(t *testing.T, cfg response.Config, tests []headTest) {
	t.Helper()
	for _, tt := range tests {
		for _, size := range []int{1, 2, 3, 7, 4096} {
			if err := readInSegments(t, cfg, tt.text, size); !errors.Is(err, tt.want) {
				t.Errorf("%s in segments of %d bytes: got %v, want %v", tt.name, size, err, tt.want)
			}
		}
	}
}

// TestFirstLineIsValidated guards against a response being read whose first line has no status of
// HTTP/1.
func TestFirstLineIsValidated(t *testing.T) {
	const end = "\r\n\r\n"
	long := strings.Repeat("x", 5000)
	tests := []headTest{
		{"success", "HTTP/1.1 200 OK" + end, nil},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + end, nil},
		{"no reason", "HTTP/1.1 200" + end, nil},
		{"empty reason", "HTTP/1.1 200 " + end, nil},
		{"lines without returns", "HTTP/1.1 200 OK\n\n", nil},
		{"largest status", "HTTP/1.1 599 No" + end, nil},
		{"long reason", "HTTP/1.1 503 " + long + end, nil},
		{"an empty line first", "\r\nHTTP/1.1 200 OK" + end, nil},
		{"early hints", "HTTP/1.1 103 Hints\r\nLink: a" + end + "HTTP/1.1 200 OK" + end, nil},
		{"body that looks like a head", "HTTP/1.1 200 OK" + end + "HTTP/1.1 000 None" + end, nil},
		{"status 000", "HTTP/1.1 000 None" + end, response.ErrStatus},
		{"status 099", "HTTP/1.1 099 Low" + end, response.ErrStatus},
		{"status +20", "HTTP/1.1 +20 Signed" + end, response.ErrStatus},
		{"status -00", "HTTP/1.1 -00 Signed" + end, response.ErrStatus},
		{"status 600", "HTTP/1.1 600 High" + end, response.ErrStatus},
		{"status 999", "HTTP/1.1 999 High" + end, response.ErrStatus},
		{"status of 2 digits", "HTTP/1.1 20 Short" + end, response.ErrStatus},
		{"status of 4 digits", "HTTP/1.1 0200 Long" + end, response.ErrStatus},
		{"status in other digits", "HTTP/1.1 ２００ OK" + end, response.ErrStatus},
		{"tab behind the status", "HTTP/1.1 200\tOK" + end, response.ErrStatus},
		{"no status", "HTTP/1.1" + end, response.ErrStatus},
		{"status behind many spaces", "HTTP/1.1 " + strings.Repeat(" ", 5000) + "200 OK" + end, response.ErrStatus},
		{"version 2.0", "HTTP/2.0 200 OK" + end, response.ErrStatus},
		{"version 1.10", "HTTP/1.10 200 OK" + end, response.ErrStatus},
		{"two empty lines first", "\r\n\r\nHTTP/1.1 200 OK" + end, response.ErrStatus},
		{"no HTTP", "hello" + end, response.ErrStatus},
		{"behind early hints", "HTTP/1.1 103 Hints" + end + "HTTP/1.1 000 None" + end, response.ErrStatus},
		{"other protocol", "HTTP/1.1 101 Switching Protocols" + end, response.ErrUpgrade},
		{"other protocol behind early hints", "HTTP/1.1 103 Hints" + end + "HTTP/1.1 101 Switching" + end, response.ErrUpgrade},
	}
	checkHeads(t, response.Config{}, tests)
	checkHeads(t, response.Config{Upgrade: true}, []headTest{
		{"other protocol that was asked for", "HTTP/1.1 101 Switching Protocols" + end + "\x00HTTP/1.1 000 None" + end, nil},
	})
}

// TestFieldNamesAreValidated guards against a response being read with a field whose name is no
// token: a blank behind the name of a field that states the length gave another body.
func TestFieldNamesAreValidated(t *testing.T) {
	const begin, end = "HTTP/1.1 503 No\r\n", "\r\n\r\n"
	long := strings.Repeat("x", 5000)
	tests := []headTest{
		{"token", begin + "X-9!#$%&'*+.^_`|~: y" + end, nil},
		{"blank before a value", begin + "X:  \t y" + end, nil},
		{"empty value", begin + "X:\r\nY:" + end, nil},
		{"long name and value", begin + long + ":" + long + end, nil},
		{"colons in a value", begin + "X: y:: z z" + end, nil},
		{"continued value", begin + "X: y\r\n z z: y\r\n\t\r\nY: z" + end, nil},
		{"body that looks like a field", begin + "X: y" + end + "X Odd: 1" + end, nil},
		{"blank in a name", begin + "X Odd: 1" + end, response.ErrFieldName},
		{"blank behind a name", begin + "X-Odd : 1" + end, response.ErrFieldName},
		{"blank behind a long name", begin + long + " : 1" + end, response.ErrFieldName},
		{"blank behind the name of a later field", begin + "X: y\r\nContent-Length : 1" + end, response.ErrFieldName},
		{"blank behind a name, lines without returns", "HTTP/1.1 200 OK\nX-Odd : 1\n\n", response.ErrFieldName},
		{"blank behind a name of early hints", "HTTP/1.1 103 Hints\r\nX-Odd : 1" + end + begin + end, response.ErrFieldName},
		{"blank behind a name behind early hints", "HTTP/1.1 103 Hints\r\nX: y" + end + begin + "X-Odd : 1" + end, response.ErrFieldName},
		{"blank before the first name", begin + " X: 1" + end, response.ErrFieldName},
		{"blank before the first name behind early hints", "HTTP/1.1 103 Hints\r\nX: y" + end + begin + " X: 1" + end, response.ErrFieldName},
		{"tab behind a name", begin + "X\t: 1" + end, response.ErrFieldName},
		{"control byte in a name", begin + "X\x01: 1" + end, response.ErrFieldName},
		{"zero byte in a name", begin + "X\x00: 1" + end, response.ErrFieldName},
		{"DEL in a name", begin + "X\x7f: 1" + end, response.ErrFieldName},
		{"byte above ASCII in a name", begin + "X\xe9: 1" + end, response.ErrFieldName},
		{"return in a name", begin + "X\rY: 1" + end, response.ErrFieldName},
		{"two returns", begin + "X: y\r\n\r\r\n" + end, response.ErrFieldName},
		{"separator in a name", begin + "X/Y: 1" + end, response.ErrFieldName},
		{"empty name", begin + ": 1" + end, response.ErrFieldName},
		{"no colon", begin + "X" + end, response.ErrFieldName},
	}
	checkHeads(t, response.Config{}, tests)
}

// TestChunksNeedHTTP11 guards against the sizes of chunks being read as a part of the body, since
// HTTP/1.0 has no Transfer-Encoding.
func TestChunksNeedHTTP11(t *testing.T) {
	const end = "\r\n\r\n"
	checkHeads(t, response.Config{}, []headTest{
		{"HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + end, nil},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX: y\r\ntransfer-encoding:chunked" + end, response.ErrFraming},
		{"HTTP/1.0 behind early hints", "HTTP/1.1 103 Hints" + end + "HTTP/1.0 503 No\r\nTransfer-Encoding: chunked" + end, response.ErrFraming},
	})
}

func TestCheckTrailer(t *testing.T) {
	const blankBehind = "X-Odd "
	tests := []struct {
		name    string
		trailer http.Header
		want    error
	}{
		{"none", nil, nil},
		{"token", http.Header{"Checksum": {"1"}}, nil},
		{"announced and not received", http.Header{"X Odd": nil}, nil},
		{"blank in a name", http.Header{"X Odd": {"1"}}, response.ErrFieldName},
		{"blank behind a name", http.Header{"Checksum": {"1"}, blankBehind: {"1"}}, response.ErrFieldName},
	}
	for _, tt := range tests {
		if err := response.CheckTrailer(tt.trailer); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}
