package command

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

// reloadInterval is the time between looks at the settings file, which may change
// without a signal.
const reloadInterval = time.Second

// reloader reads the settings file again when it has changed.
type reloader struct {
	path   string
	hangup <-chan os.Signal
	logger zerolog.Logger
	out    chan settings.Settings
	// seen tells one content of the file from the next.
	seen stamp
}

// stamp is what the file system says of a file's content.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{size: info.Size(), modified: info.ModTime()}
}

func newReloader(path string, hangup <-chan os.Signal, logger zerolog.Logger) *reloader {
	return &reloader{path: path, hangup: hangup, logger: logger, out: make(chan settings.Settings), seen: stampOf(path)}
}

// run passes changed settings on until the context ends, then closes done.
func (w *reloader) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			w.reload(ctx, "Signal")
		case <-ticker.C:
			if stampOf(w.path) != w.seen {
				w.reload(ctx, "File")
			}
		}
	}
}

// reload reads the file and passes it on, unless it has a mistake.
func (w *reloader) reload(ctx context.Context, cause string) {
	w.seen = stampOf(w.path)
	s, problems := settings.Load(w.path)
	for _, p := range problems {
		event.Warn(w.logger, event.SettingsRefused).Str("Cause", cause).Int("Code", int(p.Code)).Stringer("Problem", p).Send()
	}
	if len(problems) > 0 {
		return
	}
	select {
	case w.out <- s:
	case <-ctx.Done():
	}
}
