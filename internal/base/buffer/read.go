package buffer

import (
	"bytes"
	"context"
	"errors"
	"io"
)

// ErrTooLarge is returned for a message that is larger than the given limit.
var ErrTooLarge = errors.New("read message: it is too large")

// ReadLimits bound a message that is read as a whole.
type ReadLimits struct {
	// MaxBytes is the maximum size of the message.
	MaxBytes int64
	// FreeBytes is the size up to which no memory is taken from Large. A larger message takes
	// MaxBytes while it is read, so that each one that has begun can be completed.
	FreeBytes int64
	// Large is shared by all messages of a kind; nil means no bound.
	Large *Pool
}

// Read reads a message to its end. It waits for memory until the context ends. The error is
// ErrTooLarge for a message above MaxBytes, and else that of the reader or of the context.
func (l ReadLimits) Read(ctx context.Context, r io.Reader) ([]byte, error) {
	var b bytes.Buffer
	free := min(l.FreeBytes, l.MaxBytes)
	n, err := io.CopyN(&b, r, free+1)
	if errors.Is(err, io.EOF) {
		return b.Bytes(), nil
	}
	if err != nil {
		return nil, err
	}
	if n > l.MaxBytes {
		return nil, ErrTooLarge
	}
	if err := l.Large.Take(ctx, l.MaxBytes); err != nil {
		return nil, err
	}
	defer l.Large.Return(l.MaxBytes)
	if _, err := io.CopyN(&b, r, l.MaxBytes-n+1); !errors.Is(err, io.EOF) {
		if err == nil {
			err = ErrTooLarge
		}
		return nil, err
	}
	return b.Bytes(), nil
}
