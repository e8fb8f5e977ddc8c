package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleydeal/parsleydeal/daemon"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
)

// command is one subcommand of the operators' program.
type command struct {
	run func(ctx context.Context, args []string) error
}

// Execute implements flags.Commander. It runs the command until it is done or an interrupt or
// termination signal cancels its context.
func (c *command) Execute(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, args)
}

type operatorOptions struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// commands lists the functions that add the subcommands.
var commands = []func(*flags.Parser) error{
	addCheck, addPublish, addTables, addStatus, addBurn, addBills, addExplain, addAccount, addCompare, addLoad, addStandin, addDemo,
}

// newOperatorParser returns the command-line parser of the operators' program.
func newOperatorParser() (p *flags.Parser, err error) {
	o := &operatorOptions{Version: func() {
		fmt.Println("parsleydeal", daemon.Version())
		os.Exit(ExitOK)
	}}
	p = flags.NewNamedParser("parsleydeal", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Exit codes: 0 done; 1 failed; 2 the command line, settings or tables given are wrong and nothing was done; " +
		"3 a change stands on the log and was rejected; 4 a change is not known to be in force everywhere, or whether it stands on the log."
	if _, err = p.AddGroup("Options", "", o); err != nil {
		return nil, err
	}
	for _, add := range commands {
		if err = add(p); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Operator runs parsleydeal, the operators' program, and returns its exit code.
func Operator(args []string) int {
	p, err := newOperatorParser()
	if err != nil {
		return printError(err)
	}
	_, err = p.ParseArgs(args)
	return printError(err)
}

// platformOptions are the options of commands that connect to a running system.
type platformOptions struct {
	Settings string `long:"settings" short:"s" description:"file of settings in TOML, of which platform and tls.peers are used"`
	Platform string `long:"platform" short:"p" env:"PARSLEYDEAL_PLATFORM" description:"base URL of the platform's services, in place of settings"`
}

// operator returns a client for the system that the options select.
func (o *platformOptions) operator() (op *client.Operator, err error) {
	s := settings.Default()
	if o.Settings != "" {
		if s, err = settings.Read(o.Settings); err != nil {
			return nil, err
		}
	}
	if o.Platform != "" {
		s.Platform = o.Platform
	}
	if s.Platform == "" {
		return nil, fmt.Errorf("cli: --platform or --settings is needed: %w", errUsage)
	}
	return newOperator(s)
}

func newOperator(s settings.Settings) (op *client.Operator, err error) {
	c, err := daemon.OpenCertificates(settings.TLS{Peers: s.TLS.Peers})
	if err != nil {
		return nil, err
	}
	h := provider.NewHTTP(s.Platform, http.DefaultClient)
	return &client.Operator{Log: h.Log(), VMs: h.VMList(), Peers: c.Pool(), Clock: clock.System(), Pause: clock.Pause}, nil
}
