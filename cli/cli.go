// Package cli holds the command lines of the three programs.
package cli

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/settings"
)

// Exit codes of all programs.
const (
	// ExitOK means that everything asked for was done.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are wrong.
	ExitUsage = 2
)

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// exitOf prints an error and returns the exit code it stands for.
func exitOf(err error) int {
	var f *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(f.Message)
		return ExitOK
	case errors.As(err, &f), errors.Is(err, errUsage), errorx.IsOfType(err, settings.ErrInvalid):
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
}

// version returns the module version that the program was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// newLogger makes the structured logger that the settings ask for.
func newLogger(s settings.Log) (l *log.Logger, err error) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("cli: log.level: %w", err)
	}
	l = log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true})
	if s.Format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	return l, nil
}
