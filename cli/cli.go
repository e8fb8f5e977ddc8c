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
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/load"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/table"
)

// Exit codes of all programs.
const (
	// ExitOK means that everything asked for was done.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line, settings or tables given are
	// wrong, and that nothing was done.
	ExitUsage = 2
	// ExitRejected means that a change stands on the log and was rejected.
	ExitRejected = 3
	// ExitUncertain means that a change was not seen in force everywhere, or
	// that it is not known whether it stands on the log.
	ExitUncertain = 4
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
	}
	fmt.Fprintln(os.Stderr, messageOf(err))
	return codeOf(err)
}

func codeOf(err error) int {
	var f *flags.Error
	switch {
	case errors.As(err, &f), errors.Is(err, errUsage),
		errorx.IsOfType(err, settings.ErrInvalid), errorx.IsOfType(err, load.ErrInvalid), errorx.IsOfType(err, table.ErrInvalid), errorx.IsOfType(err, table.ErrMalformed):
		return ExitUsage
	case errorx.IsOfType(err, client.ErrRejected):
		return ExitRejected
	case errorx.IsOfType(err, client.ErrNoVerdict), errorx.IsOfType(err, client.ErrNotInForce):
		return ExitUncertain
	}
	return ExitFailed
}

// messageOf leaves out the name of the error's type where the message lists
// faults by file and line.
func messageOf(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil && errorx.IsOfType(err, settings.ErrInvalid) {
		return e.Message()
	}
	return err.Error()
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
