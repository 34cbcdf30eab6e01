package event

import (
	"context"
	"io"
	"sync"
)

// defaultWriterBytes is the default buffer size of a Writer.
const defaultWriterBytes = 1 << 20

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Out is the destination of the lines.
	Out io.Writer
	// BufferBytes is the maximum size of the buffered lines; 0 means 1 MiB.
	BufferBytes int
	// Gateway is the gateway's name in LinesLost lines.
	Gateway string
}

// Writer is an asynchronous, buffered log writer, which writes many lines to a slower
// writer at once. Logging never blocks the routing of a call on slow log output:
// lines that exceed the buffer are dropped and counted, and a LinesLost line states
// their number after the next write. It is safe for concurrent use.
type Writer struct {
	cfg  WriterConfig
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int64
}

var _ io.Writer = (*Writer)(nil)

// NewWriter starts a Writer. When the context ends, the Writer flushes the buffered
// lines and closes Done.
func NewWriter(ctx context.Context, cfg WriterConfig) *Writer {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = defaultWriterBytes
	}
	w := &Writer{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Done returns a channel that is closed when the last line has been flushed.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Write buffers one line. It never blocks on Out and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > w.cfg.BufferBytes {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	var spare []byte
	for {
		select {
		case <-w.wake:
			spare = w.flush(spare)
		case <-ctx.Done():
			w.flush(spare)
			return
		}
	}
}

// flush writes the buffered lines, and returns their buffer for reuse. Write errors
// of Out are ignored, because there is nowhere else to report them.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.cfg.Out.Write(lines)
	}
	if dropped > 0 {
		Warn(NewLogger(w.cfg.Out, "warn", w.cfg.Gateway), LinesLost).Int64("Lines", dropped).Send()
	}
	return lines
}
