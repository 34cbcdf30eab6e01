package buffer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
)

// TestReadBoundsMessages guards against messages that end at a limit being refused, larger ones
// being kept, and memory that is not returned.
func TestReadBoundsMessages(t *testing.T) {
	const limit, free = 1000, 100
	broken := errors.New("broken")
	tests := []struct {
		name string
		r    io.Reader
		size int
		want error
	}{
		{"empty", strings.NewReader(""), 0, nil},
		{"free", strings.NewReader(strings.Repeat("x", free)), free, nil},
		{"a byte more", strings.NewReader(strings.Repeat("x", free+1)), free + 1, nil},
		{"largest", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", limit))), limit, nil},
		{"too large", strings.NewReader(strings.Repeat("x", limit+1)), 0, buffer.ErrTooLarge},
		{"broken early", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), 0, broken},
		{"broken late", io.MultiReader(strings.NewReader(strings.Repeat("x", 500)), iotest.ErrReader(broken)), 0, broken},
	}
	large := buffer.NewPool(limit)
	for _, tt := range tests {
		got, err := buffer.ReadLimits{MaxBytes: limit, FreeBytes: free, Large: large}.Read(context.Background(), tt.r)
		if !errors.Is(err, tt.want) || len(got) != tt.size || !bytes.Equal(got, bytes.Repeat([]byte("x"), tt.size)) {
			t.Errorf("%s: got %d bytes and error %v, want %d and %v", tt.name, len(got), err, tt.size, tt.want)
		}
		if !large.TryTake(limit) {
			t.Errorf("%s: got memory that is still taken, want none", tt.name)
		}
		large.Return(limit)
	}
	large.TryTake(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, err := (buffer.ReadLimits{MaxBytes: limit, FreeBytes: free, Large: large}).Read(ctx, strings.NewReader(strings.Repeat("x", limit))); err == nil {
		t.Error("got a large message without memory, want an error")
	}
	if _, err := (buffer.ReadLimits{MaxBytes: 50, FreeBytes: free}).Read(ctx, strings.NewReader(strings.Repeat("x", 51))); !errors.Is(err, buffer.ErrTooLarge) {
		t.Errorf("got error %v for a message above a limit below the free size, want ErrTooLarge", err)
	}
}
