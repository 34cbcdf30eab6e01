package mustardsaddle

import (
	"encoding/hex"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// RequestDigestBytes is the length of a RequestDigest.
const RequestDigestBytes = 16

// RequestDigest identifies the requests that are the same work for a server: it is a
// collision-resistant hash of the method, the host that the rules require, the path with
// the query, the caller and the first part of the body.
type RequestDigest [RequestDigestBytes]byte

// ParseRequestDigest parses the hexadecimal form of a digest. The error has
// code.RequestDigestBad.
func ParseRequestDigest(text string) (RequestDigest, error) {
	var d RequestDigest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != RequestDigestBytes {
		return d, code.Errorf(code.RequestDigestBad, "parse request digest: got %.64q, want %d hexadecimal digits", text, 2*RequestDigestBytes)
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the hexadecimal form of the digest.
func (d RequestDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalBinary returns the bytes of the digest.
func (d RequestDigest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary reads the bytes of a digest. The error has code.RequestDigestBad.
func (d *RequestDigest) UnmarshalBinary(raw []byte) error {
	if len(raw) != RequestDigestBytes {
		return code.Errorf(code.RequestDigestBad, "read request digest: got %d bytes, want %d", len(raw), RequestDigestBytes)
	}
	copy(d[:], raw)
	return nil
}
