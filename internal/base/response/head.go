package response

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
)

const (
	// MaxHeadBytes bounds the headers of the responses to a request.
	MaxHeadBytes = 256 << 10
	// maxLineBytes is the part of a line of a header that is read: a name, and the beginning of a
	// value.
	maxLineBytes = 256
	// parsedFieldBytes is the memory for a field of a parsed header, beside its text.
	parsedFieldBytes = 256
	// textCopies is how often the text of a header is kept: as it is parsed, and as it is sent on.
	textCopies = 2
)

// head finds the header of the response to each request on a connection. It keeps one
// line, and the fields that matter.
type head struct {
	// fields are the names, in canonical form, of the fields that matter.
	fields map[string]bool
	// awaited is true while the header of a response is awaited.
	awaited bool
	// line is the beginning of the present line, and cut is true if it is not the whole line.
	line []byte
	cut  bool
	// size is the size of the present header up to now, in bytes.
	size int
	// status is that of the present header, once its first line is complete.
	status   int
	statusOK bool
	found    http.Header
	// bytes and lines count what was scanned for the present request, informational responses
	// included.
	bytes, lines int
}

// await begins to scan for the header of the response to a request.
func (h *head) await() {
	*h = head{fields: h.fields, line: h.line[:0], awaited: true}
}

// memory returns the memory, in bytes, that the headers take which were scanned for the present
// request.
func (h *head) memory() int64 {
	return int64(textCopies*h.bytes + parsedFieldBytes*h.lines)
}

// scan scans what was read from the connection. It returns true with the status of a response when
// its header is complete, and the fields that matter unless it is a success. Informational responses
// are passed over.
// A longer header than the transport accepts is not scanned to its end.
func (h *head) scan(p []byte) (status int, fields http.Header, found bool) {
	for h.awaited && len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		ends := n > 0
		if !ends {
			n = len(p)
		}
		h.add(p[:n])
		p = p[n:]
		if ends && h.endLine() && h.end() {
			return h.status, h.found, true
		}
	}
	return 0, nil, false
}

// add adds a part of a line.
func (h *head) add(p []byte) {
	kept := p[:min(len(p), maxLineBytes-len(h.line))]
	h.line = append(h.line, kept...)
	h.cut = h.cut || len(kept) < len(p)
	h.size += len(p)
	h.bytes += len(p)
	h.awaited = h.bytes <= MaxHeadBytes
}

// endLine processes a complete line. It returns true for the empty one at the end of a header.
func (h *head) endLine() bool {
	line := bytes.TrimSuffix(bytes.TrimSuffix(h.line, []byte("\n")), []byte("\r"))
	cut := h.cut
	h.line, h.cut = h.line[:0], false
	h.lines++
	// An empty first line may precede a header.
	const emptyLineBytes = 2
	switch {
	case len(line) == 0:
		return h.size > emptyLineBytes
	case !h.statusOK:
		h.status, h.statusOK = lineStatus(line), true
		if h.status >= http.StatusMultipleChoices {
			h.found = make(http.Header)
		}
	case h.found != nil:
		h.addField(line, cut)
	}
	return false
}

// end ends a header. It returns true unless the response is informational.
func (h *head) end() bool {
	if h.status >= http.StatusOK || h.status == 0 {
		h.awaited = false
		return true
	}
	h.size, h.status, h.statusOK = 0, 0, false
	return false
}

// cutValue stands for a value that begins behind the part of a line that is read.
const cutValue = "..."

// addField keeps a field that matters. A long value is cut.
func (h *head) addField(line []byte, cut bool) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	canonical := textproto.CanonicalMIMEHeaderKey(string(name))
	if !h.fields[canonical] {
		return
	}
	text := string(bytes.TrimSpace(value))
	if text == "" && cut {
		text = cutValue
	}
	h.found.Add(canonical, text)
}

// lineStatus returns the status in the first line of a header, or 0 if it has none.
func lineStatus(line []byte) int {
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
