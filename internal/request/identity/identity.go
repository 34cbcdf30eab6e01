// Package identity computes which requests are the same work for a server. Two requests
// are the same if they have the same method, path, query, caller, customer and body, and match
// rules for the same host. Neither the framing of the body nor percent-encoding makes a difference,
// and no header does, except the one that names the caller: a Host that the rules do not
// distinguish does not either. The service makes none, since the rules may move a path to
// another service while servers end.
//
// Of a body only the first MaxBodyBytes count, so that an endless body costs no more than a
// long one, and the digest of an upload is known long before its end.
//
// # Usage
//
//	h := identity.New(r, identity.Scope{Host: "sheds.example", CallerHeader: "Customer-ID"})
//	h.Write(body)
//	digest := h.Sum()
package identity

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// MaxBodyBytes is the size of the part of a body that counts.
const MaxBodyBytes = 64 << 10

var _ io.Writer = (*Hasher)(nil)

// Hasher computes the digest of one request. It is not safe for concurrent use.
type Hasher struct {
	hash hash.Hash
	head uint64
	// left is the number of bytes of the body that still count.
	left int
}

// Scope is what distinguishes requests besides what they contain.
type Scope struct {
	// Host is the host that the rule requires; empty if it matches any.
	Host string
	// CallerHeader is the header that names the caller; empty if none does.
	CallerHeader string
	// Customer is the customer of the request; empty if it has none.
	Customer string
}

// New returns a Hasher of a request without a body.
func New(r *http.Request, scope Scope) *Hasher {
	b := make([]byte, 0, 512)
	b = appendField(b, r.Method)
	b = appendField(b, scope.Host)
	b = appendField(b, r.URL.Path)
	b = appendField(b, decodedQuery(r.URL.RawQuery))
	caller := ""
	if scope.CallerHeader != "" {
		caller = r.Header.Get(scope.CallerHeader)
	}
	b = appendField(b, caller)
	if scope.Customer != "" {
		b = appendField(b, scope.Customer)
	}
	h := &Hasher{hash: sha256.New(), head: xxhash.Sum64(b), left: MaxBodyBytes}
	_, _ = h.hash.Write(b)
	return h
}

// appendField appends a field with its length, so that no two lists of fields are alike.
func appendField(b []byte, field string) []byte {
	b = binary.AppendUvarint(b, uint64(len(field)))
	return append(b, field...)
}

// decodedQuery returns the query without percent-encoding, or as it is if it cannot be
// decoded.
func decodedQuery(query string) string {
	if decoded, err := url.PathUnescape(query); err == nil {
		return decoded
	}
	return query
}

// Write adds the next bytes of the body. It never returns an error.
func (h *Hasher) Write(p []byte) (int, error) {
	counted := p[:min(len(p), h.left)]
	h.left -= len(counted)
	_, _ = h.hash.Write(counted)
	return len(p), nil
}

// Full reports whether further bytes of the body make no difference.
func (h *Hasher) Full() bool { return h.left == 0 }

// Head returns a hash of what the digest is computed from, apart from the body. It is not
// collision-resistant.
func (h *Hasher) Head() uint64 { return h.head }

// Sum returns the digest of the request with the body written so far.
func (h *Hasher) Sum() mustardsaddle.RequestDigest {
	var d mustardsaddle.RequestDigest
	copy(d[:], h.hash.Sum(nil))
	return d
}
