package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand of the operators' program.
type command struct {
	// run does the command's work.
	run func(ctx context.Context, args []string) error
}

// Execute is called by go-flags when the subcommand was named.
func (c *command) Execute(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, args)
}

type operatorOptions struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// Operator runs parsleydeal, the operators' program, and returns its exit code.
func Operator(args []string) int {
	o := operatorOptions{Version: func() {
		fmt.Println("parsleydeal", version())
		os.Exit(ExitOK)
	}}
	p := flags.NewNamedParser("parsleydeal", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		return exitOf(err)
	}
	for _, add := range []func(*flags.Parser) error{addDemo, addBills, addBurn} {
		if err := add(p); err != nil {
			return exitOf(err)
		}
	}
	_, err := p.ParseArgs(args)
	return exitOf(err)
}
