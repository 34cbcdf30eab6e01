package connection

import (
	"bytes"
	"net"
	"strings"
	"syscall"
)

// peekBytes is the size of the buffer for bytes that are looked at without being read. It
// holds the header of most requests.
const peekBytes = 4 << 10

// unread returns the bytes that the operating system has received on a connection and that
// were not read yet, at most peekBytes. It does not wait and does not read them. It returns
// none if there are none, if the connection has ended, or if it is not a socket.
func unread(c net.Conn) []byte {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	p, n := make([]byte, peekBytes), 0
	// Control, unlike Read, does not wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil || n <= 0 {
		return nil
	}
	return p[:n]
}

// fieldOf returns the first value of a header field in the bytes of a request, or "" if they do
// not hold it.
func fieldOf(request []byte, name string) string {
	if name == "" {
		return ""
	}
	for line := range bytes.Lines(request) {
		text := strings.TrimRight(string(line), "\r\n")
		if len(text) == len(line) || text == "" {
			return ""
		}
		if field, value, ok := strings.Cut(text, ":"); ok && strings.EqualFold(field, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
