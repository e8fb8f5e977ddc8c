// Package cli holds the command lines of the three programs.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/comparison"
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
	fmt.Fprintln(os.Stderr, settings.MessageOf(err))
	return codeOf(err)
}

func codeOf(err error) int {
	var f *flags.Error
	switch {
	case errors.As(err, &f), errors.Is(err, errUsage),
		errorx.IsOfType(err, settings.ErrInvalid), errorx.IsOfType(err, comparison.ErrPlan), errorx.IsOfType(err, load.ErrInvalid), errorx.IsOfType(err, table.ErrInvalid), errorx.IsOfType(err, table.ErrMalformed):
		return ExitUsage
	case errorx.IsOfType(err, client.ErrRejected):
		return ExitRejected
	case errorx.IsOfType(err, client.ErrNoVerdict), errorx.IsOfType(err, client.ErrNotInForce):
		return ExitUncertain
	}
	return ExitFailed
}
