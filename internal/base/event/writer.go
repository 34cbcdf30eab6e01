package event

import (
	"context"
	"io"
	"sync"
)

// defaultWriterBytes is how many bytes of lines a Writer holds by default.
const defaultWriterBytes = 1 << 20

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Out takes the lines.
	Out io.Writer
	// Bytes bounds the lines that wait for Out; 0 means 1 MiB.
	Bytes int
	// Gateway names the gateway in the line that counts lost lines.
	Gateway string
}

// Writer passes log lines on to a slower writer, many in one write. A call that
// is being routed never waits for the reader of the log: lines that don't fit
// are lost and counted, and a LinesLost line gives their number once there is
// room again. It is safe for concurrent use.
type Writer struct {
	cfg  WriterConfig
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting []byte
	lost    int64
}

var _ io.Writer = (*Writer)(nil)

// NewWriter starts a Writer. After the context ends it passes on the lines that
// wait, and closes Done.
func NewWriter(ctx context.Context, cfg WriterConfig) *Writer {
	if cfg.Bytes == 0 {
		cfg.Bytes = defaultWriterBytes
	}
	w := &Writer{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Done is closed when the last line has been passed on.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Write takes one line. It never waits for Out and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > w.cfg.Bytes {
		w.lost++
	} else {
		w.waiting = append(w.waiting, line...)
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
			spare = w.pass(spare)
		case <-ctx.Done():
			w.pass(spare)
			return
		}
	}
}

// pass writes the lines that wait, and returns their buffer for use again. A
// line that Out refuses has nowhere else to go.
func (w *Writer) pass(spare []byte) []byte {
	w.mu.Lock()
	lines, lost := w.waiting, w.lost
	w.waiting, w.lost = spare[:0], 0
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.cfg.Out.Write(lines)
	}
	if lost > 0 {
		Warn(NewLogger(w.cfg.Out, "warn", w.cfg.Gateway), LinesLost).Int64("Lines", lost).Send()
	}
	return lines
}
