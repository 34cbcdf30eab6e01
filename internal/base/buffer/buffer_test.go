package buffer_test

import (
	"context"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
)

func TestPool(t *testing.T) {
	p := buffer.NewPool(10)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if !p.TryTake(6) || p.TryTake(5) || !p.TryTake(4) {
		t.Error("got other than 6 and 4 of 10 bytes, want these")
	}
	if err := p.Take(ended, 1); err == nil {
		t.Error("got a byte of a pool without free ones, want an error")
	}
	taken := make(chan error, 1)
	go func() { taken <- p.Take(context.Background(), 10) }()
	p.Return(6)
	p.Return(4)
	if err := <-taken; err != nil {
		t.Errorf("got error %v after all bytes were returned, want none", err)
	}
	if p.TryTake(11) {
		t.Error("got more bytes than the pool has")
	}
	var unbounded *buffer.Pool
	if !unbounded.TryTake(1<<60) || unbounded.Take(ended, 1<<60) != nil {
		t.Error("got a bound of a nil pool, want none")
	}
	unbounded.Return(1 << 60)
}

func TestStats(t *testing.T) {
	b := buffer.New(16)
	if !b.Heads.TryTake(8) || !b.Responses.TryTake(4) || b.Requests.TryTake(5) {
		t.Error("got other shares than 8, 4 and 4 of 16 bytes")
	}
	if got, want := b.Stats(), (buffer.Stats{Used: 12, Refused: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := (buffer.Budget{}).Stats(); got != (buffer.Stats{}) {
		t.Errorf("got %+v of a budget without bounds, want zeros", got)
	}
}
