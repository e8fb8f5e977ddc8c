package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/account"
)

type accountCommand struct {
	command
	Args struct {
		Files []string `positional-arg-name:"LOG" description:"log files of entries" required:"1"`
	} `positional-args:"yes"`
}

func addAccount(p *flags.Parser) error {
	c := &accountCommand{}
	c.run = func(context.Context, []string) error { return c.account(os.Stdout, os.Stderr) }
	_, err := p.AddCommand("account", "Sum up what became of requests, from the logs",
		"Account reads the logs of direct entries and says by route, cause and second how many requests were answered in time, late, refused or failed, and how much time each cause took.", c)
	return err
}

// account skips files that cannot be read, with a warning for each, and fails if none can be
// read.
func (c *accountCommand) account(out, warnings io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("account: %w", err)
		}
	}()
	l := &account.Log{}
	read := 0
	for _, path := range c.Args.Files {
		if readErr := readAccountLog(l, path); readErr != nil {
			fmt.Fprintln(warnings, "account:", readErr)
			continue
		}
		read++
	}
	if read == 0 {
		return errors.New("no log file can be read")
	}
	return l.Print(out)
}

func readAccountLog(l *account.Log, path string) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return l.Read(f)
}
