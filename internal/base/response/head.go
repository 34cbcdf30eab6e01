package response

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes bounds the headers of the responses to a request. Longer ones are not validated
	// to their end.
	MaxHeadBytes = 256 << 10
	// maxLineBytes is the part of a line of a header that is kept: a status, or a name and the
	// beginning of a value.
	maxLineBytes = 256
	// parsedFieldBytes is the memory for a field of a parsed header, beside its text.
	parsedFieldBytes = 256
	// textCopies is how often the text of a header is kept: as it is parsed, and as it is sent on.
	textCopies = 2
	// maxStatus is the largest status that HTTP defines a class for.
	maxStatus = 599
)

// Errors of a header that is not one of a response.
var (
	ErrStatus    = errors.New("read response header: the first line has no version 1.x and status from 100 to 599")
	ErrUpgrade   = errors.New("read response header: the protocol is switched, which the request did not ask for")
	ErrFieldName = errors.New("read response header: a field name is not a token")
	ErrFraming   = errors.New("read response header: HTTP/1.0 has no Transfer-Encoding")
)

// head validates the headers of the responses to each request on a connection, as they are
// received. It keeps one line, and the fields that matter.
type head struct {
	// fields are the names, in canonical form, of the fields that matter.
	fields map[string]bool
	// upgrade is true if a response may switch the protocol.
	upgrade bool
	// awaited is true while the header of a response is awaited.
	awaited bool
	// line is the beginning of the present line, and cut is true if it is not the whole line.
	line []byte
	cut  bool
	// named is true once the name of the field in the present line has ended, and returned once
	// the line has had a carriage return before that.
	named, returned bool
	// size is the size of the present header up to now, in bytes.
	size int
	// first describes the first line of the present header; its status is 0 before that.
	first statusLine
	// continuable is true if the present line may continue a field.
	continuable bool
	found       http.Header
	// bytes and lines count what was scanned for the present request, informational responses
	// included.
	bytes, lines int
}

// await begins to scan for the header of the response to a request.
func (h *head) await() {
	*h = head{fields: h.fields, upgrade: h.upgrade, line: h.line[:0], awaited: true}
}

// memory returns the memory, in bytes, that the headers take which were scanned for the present
// request.
func (h *head) memory() int64 {
	return int64(textCopies*h.bytes + parsedFieldBytes*h.lines)
}

// scan scans what was read from the connection. It returns true when the header of a response is
// complete: first then holds its first line and, unless it is a success, found the fields that
// matter. Informational responses are validated and passed over.
func (h *head) scan(p []byte) (ended bool, err error) {
	for h.awaited && len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		ends := n > 0
		if !ends {
			n = len(p)
		}
		if err := h.add(p[:n]); err != nil {
			return false, err
		}
		p = p[n:]
		if !ends {
			continue
		}
		last, err := h.endLine()
		if err != nil {
			return false, err
		}
		if last && h.end() {
			return true, nil
		}
	}
	return false, nil
}

// add adds a part of a line.
func (h *head) add(p []byte) error {
	if err := h.validateName(p); err != nil {
		return err
	}
	kept := p[:min(len(p), maxLineBytes-len(h.line))]
	h.line = append(h.line, kept...)
	h.cut = h.cut || len(kept) < len(p)
	h.size += len(p)
	h.bytes += len(p)
	h.awaited = h.bytes <= MaxHeadBytes
	return nil
}

// validateName validates the part of a line that belongs to the name of a field. A line that begins
// with a blank continues the field before it.
func (h *head) validateName(p []byte) error {
	if h.first.status == 0 || h.named {
		return nil
	}
	for i, b := range p {
		begins := i == 0 && len(h.line) == 0
		switch {
		case b == '\n':
			return nil
		case h.returned:
			return ErrFieldName
		case b == '\r':
			h.returned = true
		case b == ':' && !begins, begins && h.continuable && (b == ' ' || b == '\t'):
			h.named = true
			return nil
		case !httpguts.IsTokenRune(rune(b)):
			return ErrFieldName
		}
	}
	return nil
}

// endLine processes a complete line. It returns true for the empty one at the end of a header.
func (h *head) endLine() (last bool, err error) {
	line := bytes.TrimSuffix(bytes.TrimSuffix(h.line, []byte("\n")), []byte("\r"))
	cut, named := h.cut, h.named
	h.line, h.cut, h.named, h.returned = h.line[:0], false, false, false
	h.lines++
	// An empty first line may precede a header.
	const emptyLineBytes = 2
	switch {
	case h.first.status == 0 && len(line) == 0 && h.size <= emptyLineBytes:
		return false, nil
	case h.first.status == 0:
		return false, h.begin(line)
	case len(line) == 0:
		return true, nil
	case !named:
		return false, ErrFieldName
	}
	h.continuable = true
	return false, h.addField(line, cut)
}

// begin begins a header with its first line.
func (h *head) begin(line []byte) error {
	first, ok := parseStatusLine(line)
	switch {
	case !ok:
		return ErrStatus
	case first.status == http.StatusSwitchingProtocols && !h.upgrade:
		return ErrUpgrade
	}
	h.first, h.continuable = first, false
	if first.status >= http.StatusMultipleChoices {
		h.found = make(http.Header)
	}
	return nil
}

// end ends a header. It returns true unless the response is informational.
func (h *head) end() bool {
	if h.first.status >= http.StatusOK || h.first.status == http.StatusSwitchingProtocols {
		h.awaited = false
		return true
	}
	h.size, h.first = 0, statusLine{}
	return false
}

// cutValue stands for a value that begins behind the part of a line that is read.
const cutValue = "..."

// addField keeps a field that matters. A long value is cut.
func (h *head) addField(line []byte, cut bool) error {
	if h.found == nil && h.first.minor > 0 {
		return nil
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return nil
	}
	canonical := textproto.CanonicalMIMEHeaderKey(string(name))
	if h.first.minor == 0 && canonical == "Transfer-Encoding" {
		return ErrFraming
	}
	if h.found == nil || !h.fields[canonical] {
		return nil
	}
	text := string(bytes.TrimSpace(value))
	if text == "" && cut {
		text = cutValue
	}
	h.found.Add(canonical, text)
	return nil
}

// statusLine is the first line of a response.
type statusLine struct {
	// minor is the minor version of HTTP/1, and status is from 100 to 599.
	minor, status int
}

// parseStatusLine parses the first line of a response. It returns false if it is none.
func parseStatusLine(line []byte) (statusLine, bool) {
	const versionBytes, statusBytes = len("HTTP/1.1"), len("200")
	version, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(version) != versionBytes || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return statusLine{}, false
	}
	minor, err := strconv.ParseUint(string(version[versionBytes-1:]), 10, 8)
	if err != nil {
		return statusLine{}, false
	}
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != statusBytes || status < http.StatusContinue || status > maxStatus {
		return statusLine{}, false
	}
	return statusLine{minor: int(minor), status: int(status)}, true
}

// CheckTrailer returns an error if the name of a field that was received in a trailer is not a
// token.
func CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}
