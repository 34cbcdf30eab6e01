package connection

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
)

// headScanner finds the header of the response to each request on a connection.
type headScanner struct {
	// awaited is true while the header of a response is awaited, and head the part of it that
	// earlier reads have returned.
	awaited bool
	head    []byte
}

// await begins to scan for the header of the response to a request.
func (s *headScanner) await() {
	s.awaited, s.head = true, nil
}

// scan scans what was read from the connection. It returns true with the status and the
// header of a response when they are complete. Informational responses are passed over, and
// the header of a successful response is not parsed. A longer header than the transport
// accepts is not scanned to its end.
func (s *headScanner) scan(p []byte) (status int, h http.Header, found bool) {
	if !s.awaited {
		return 0, nil, false
	}
	rest := p
	if len(s.head) > 0 {
		rest = slices.Concat(s.head, p)
	}
	for {
		n := headSize(rest)
		if n == 0 {
			s.awaited = len(rest) <= maxResponseHeaderBytes
			s.head = bytes.Clone(rest)
			return 0, nil, false
		}
		status := headStatus(rest[:n])
		if status >= http.StatusOK || status == 0 {
			s.awaited, s.head = false, nil
			if status >= http.StatusMultipleChoices {
				h = parseFields(rest[:n])
			}
			return status, h, true
		}
		rest = rest[n:]
	}
}

// headSize returns the size of a header with the empty line after it, or 0 if it is not
// complete.
func headSize(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[at:at+n], []byte("\r"))
		at += n + 1
		if len(line) == 0 && at > 2 {
			return at
		}
	}
}

// headStatus returns the status of a response, or 0 if it cannot be read.
func headStatus(head []byte) int {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	words := bytes.Fields(line)
	if len(words) < 2 {
		return 0
	}
	status, err := strconv.Atoi(string(words[1]))
	if err != nil || status < 0 {
		return 0
	}
	return status
}

// parseFields returns the fields of a header.
func parseFields(head []byte) http.Header {
	h := make(http.Header)
	for line := range bytes.Lines(head) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			h.Add(textproto.CanonicalMIMEHeaderKey(string(name)), string(bytes.TrimSpace(value)))
		}
	}
	return h
}
