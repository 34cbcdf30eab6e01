package command

import (
	"fmt"
	"runtime/debug"

	"mustardsaddle.example/mustardsaddle/internal/base/settings"
)

const (
	settingsAbout = `Prints an annotated settings file with every setting: required settings have
an example value, the others their default.

Example:
  mustardsaddle settings > gateway.ini`
	versionAbout = `Prints the version, the commit and the Go version of the program.`
)

type example struct {
	cfg Config
}

// Execute prints the annotated settings file.
func (c *example) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	_, err := fmt.Fprint(c.cfg.Out, settings.Example())
	return err
}

type version struct {
	cfg Config
}

// Execute prints the version information that the Go toolchain recorded in the binary.
func (c *version) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	number, commit, goVersion := "unknown", "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		number, goVersion = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.cfg.Out, "mustardsaddle %s commit %s %s\n", number, commit, goVersion)
	return err
}
