package command

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes,
// since it may change without a signal.
const reloadInterval = time.Second

// reloader reloads the settings file when it changes and on a signal.
type reloader struct {
	path   string
	hangup <-chan os.Signal
	logger zerolog.Logger
	out    chan settings.Settings
	// lastStamp is the stamp of the file before it was last read.
	lastStamp fileStamp
}

// fileStamp is the size and modification time of a file. A change of either shows that
// the file may have new content.
type fileStamp struct {
	size     int64
	modified time.Time
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), modified: info.ModTime()}
}

func newReloader(path string, hangup <-chan os.Signal, logger zerolog.Logger) *reloader {
	return &reloader{path: path, hangup: hangup, logger: logger, out: make(chan settings.Settings), lastStamp: statFile(path)}
}

// run sends reloaded settings to out until the context ends, then closes done.
func (r *reloader) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			r.reload(ctx, "Signal")
		case <-ticker.C:
			if statFile(r.path) != r.lastStamp {
				r.reload(ctx, "File")
			}
		}
	}
}

// reload loads the file and sends its settings to out. If the file has mistakes, it
// logs them and sends nothing.
func (r *reloader) reload(ctx context.Context, cause string) {
	r.lastStamp = statFile(r.path)
	s, problems := settings.Load(r.path)
	for _, p := range problems {
		event.Warn(r.logger, event.SettingsRefused).Str("Cause", cause).Int("Code", int(p.Code)).Stringer("Problem", p).Send()
	}
	if len(problems) > 0 {
		return
	}
	select {
	case r.out <- s:
	case <-ctx.Done():
	}
}
