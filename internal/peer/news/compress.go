package news

import (
	"bytes"
	"compress/flate"
	"io"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// compress returns data in the DEFLATE format.
func compress(data []byte) []byte {
	var b bytes.Buffer
	// Rules and lists of VMs repeat themselves so much that the fastest level suffices.
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic("news: the compression level is invalid: " + err.Error())
	}
	_, _ = w.Write(data) // a bytes.Buffer does not fail
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the data that was compressed, which may have at most the given number
// of bytes.
func decompress(compressed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, code.Errorf(code.PeerBadMessage, "the data has more than %d bytes", limit)
	}
	return data, nil
}
