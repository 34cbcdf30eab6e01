package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Framings of a response, as the value of the query parameter Framing.
const (
	framingLength = "Length"
	framingChunks = "Chunks"
	framingClose  = "Close"
)

// Parts of a response in which it breaks off, as the value of the query parameter Part.
const (
	partNone      = "None"
	partHead      = "Head"
	partBody      = "Body"
	partChunkSize = "ChunkSize"
	partLastChunk = "LastChunk"
	partTrailer   = "Trailer"
)

// Ways in which a response breaks off, as the value of the query parameter End.
const (
	endClose = "Close"
	endReset = "Reset"
	endHold  = "Hold"
)

// cuttingServer sends responses that break off as the query of the request states, or the response
// that stands there. It counts the requests by their ID.
type cuttingServer struct {
	net.Listener

	mu       sync.Mutex
	requests map[string]int
	// held is the number of responses that are held in the middle.
	held int
}

func newCuttingServer(t *testing.T) *cuttingServer {
	ln, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	s := &cuttingServer{Listener: ln, requests: make(map[string]int)}
	t.Cleanup(func() { _ = ln.Close() })
	go acceptAll(ln, s.serve)
	return s
}

// acceptAll calls serve for each connection until the listener is closed.
func acceptAll(ln net.Listener, serve func(c net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serve serves the requests on a connection.
func (s *cuttingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		query := r.URL.Query()
		if query.Has("Response") {
			s.add(query.Get("ID"), 0)
			_, _ = io.WriteString(c, query.Get("Response"))
			return
		}
		if !query.Has("Framing") {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.add(query.Get("ID"), 0)
		_, _ = c.Write(responseUntil(query.Get("Framing"), query.Get("Part"), bodyOf(query.Get("ID"))))
		s.end(c, in, query.Get("End"))
		return
	}
}

// end ends the connection of a response that was sent as far as it goes.
func (s *cuttingServer) end(c net.Conn, in *bufio.Reader, end string) {
	switch end {
	case endReset:
		time.Sleep(flushTime)
		_ = c.(*net.TCPConn).SetLinger(0)
	case endHold:
		s.add("", 1)
		defer s.add("", -1)
		_, _ = in.ReadByte()
	}
}

// add counts a request, or n responses that are held if the ID is empty.
func (s *cuttingServer) add(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
	if id != "" {
		s.requests[id]++
	}
}

func (s *cuttingServer) received(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

func (s *cuttingServer) heldResponses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// bodyOf returns the body of the response to the request with an ID, whose first word is its
// size.
func bodyOf(id string) []byte {
	var size int
	_, _ = fmt.Sscanf(id, "%d", &size)
	return bytes.Repeat([]byte("v"), size)
}

// responseUntil returns a response up to the middle of the given part.
func responseUntil(framing, part string, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
	switch framing {
	case framingLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	case framingChunks:
		b.WriteString("Transfer-Encoding: chunked\r\nTrailer: Checksum\r\n")
	}
	if part == partHead {
		return b.Bytes()
	}
	b.WriteString("\r\n")
	if framing != framingChunks {
		if part == partBody {
			body = body[:len(body)/2]
		}
		b.Write(body)
		return b.Bytes()
	}
	writeChunks(&b, part, body)
	return b.Bytes()
}

// writeChunks writes a body in chunks up to the middle of the given part.
func writeChunks(b *bytes.Buffer, part string, body []byte) {
	for at := 0; at < len(body); at += chunkBytes {
		middle := at >= len(body)/2
		fmt.Fprintf(b, "%x", chunkBytes)
		if middle && part == partChunkSize {
			return
		}
		b.WriteString("\r\n")
		if middle && part == partBody {
			b.Write(body[at : at+chunkBytes/2])
			return
		}
		b.Write(body[at : at+chunkBytes])
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n")
	if part == partLastChunk {
		return
	}
	b.WriteString("Checksum: 1")
	if part == partTrailer {
		return
	}
	b.WriteString("\r\n\r\n")
}
