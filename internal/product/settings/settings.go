// Package settings reads and checks the INI settings of a gateway.
//
// # Usage
//
//	s, problems := settings.Load("gateway.ini")
//	for _, p := range problems { fmt.Println(p) }
package settings

import (
	"time"

	"gopkg.in/ini.v1"

	"mustardsaddle.example/mustardsaddle/internal/product/code"
)

// Settings are the settings of one gateway. A Settings is immutable.
type Settings struct {
	// Gateway identifies this gateway and its addresses.
	Gateway Gateway
	// Platform says how to reach the platform.
	Platform Platform
	// Measuring is the agreed budget of load probes.
	Measuring Measuring
	// Stop says how a graceful stop goes.
	Stop Stop
	// Limits bound what a caller may send and how long a call may take.
	Limits Limits
	// Log says what is logged.
	Log Log
}

// Gateway identifies this gateway and its addresses.
type Gateway struct {
	Name   string
	Zone   string
	Listen string
	Admin  string
	Peer   string
}

// Platform says how to reach the platform.
type Platform struct {
	URL     string
	Timeout time.Duration
	Poll    time.Duration
}

// Measuring is the agreed budget of load probes.
type Measuring struct {
	MessagesPerSecond float64
	BytesPerSecond    float64
}

// Stop says how a graceful stop goes.
type Stop struct {
	Lag time.Duration
}

// Limits bound what a caller may send and how long a call may take.
type Limits struct {
	Deadline    time.Duration
	Progress    time.Duration
	HeaderBytes int
	BodyBytes   int64
}

// Log says what is logged.
type Log struct {
	Level string
}

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Platform:  Platform{Timeout: 2 * time.Second, Poll: time.Second},
		Measuring: Measuring{MessagesPerSecond: 20, BytesPerSecond: 8192},
		Stop:      Stop{Lag: 2 * time.Second},
		Limits:    Limits{Deadline: 10 * time.Second, Progress: 15 * time.Second, HeaderBytes: 64 << 10, BodyBytes: 1 << 30},
		Log:       Log{Level: "info"},
	}
}

// Load reads a settings file over the defaults.
func Load(path string) (Settings, error) {
	s := Default()
	file, err := ini.Load(path)
	if err != nil {
		return s, code.Wrapf(code.SettingsUnreadable, err, "read settings")
	}
	if err := file.StrictMapTo(&s); err != nil {
		return s, code.Wrapf(code.SettingsBadValue, err, "read settings %s", path)
	}
	return s, nil
}
