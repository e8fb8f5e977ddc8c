// Package cli implements the commands of parsleydeal, the operators' program.
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

// Exit codes of the operators' program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line, settings or tables are invalid and
	// that nothing was done.
	ExitUsage = 2
	// ExitRejected means that a change is on the log and was rejected.
	ExitRejected = 3
	// ExitUncertain means that a change was not confirmed to be in force
	// everywhere, or that it is unknown whether it is on the log.
	ExitUncertain = 4
)

// errUsage marks an invalid command line.
var errUsage = errors.New("usage")

// printError writes an error to standard error, or help to standard output, and returns the
// exit code for it.
func printError(err error) int {
	var f *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(f.Message)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, settings.MessageOf(err))
	return exitCode(err)
}

func exitCode(err error) int {
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
