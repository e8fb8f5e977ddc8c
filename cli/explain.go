package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/explain"
)

type explainCommand struct {
	command
	Args struct {
		Subject string   `positional-arg-name:"SUBJECT" description:"id of a request, endpoint, key or upgrade's version" required:"yes"`
		Files   []string `positional-arg-name:"FILE" description:"log files; standard input without any"`
	} `positional-args:"yes"`
}

func addExplain(p *flags.Parser) error {
	c := &explainCommand{}
	c.run = func(context.Context, []string) error { return c.explain(os.Stdin, os.Stdout) }
	_, err := p.AddCommand("explain", "Tell the story of a request from the logs",
		"Explain finds the log lines of many processes that name a subject, puts them in order and says what ended it.", c)
	return err
}

func (c *explainCommand) explain(in io.Reader, out io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("explain: %w", err)
		}
	}()
	var lines []explain.Line
	if len(c.Args.Files) == 0 {
		lines, err = explain.Read(in, "stdin", c.Args.Subject)
	}
	for _, path := range c.Args.Files {
		more, readErr := readLog(path, c.Args.Subject)
		if readErr != nil {
			return readErr
		}
		lines = append(lines, more...)
	}
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions %s", c.Args.Subject)
	}
	if err = explain.WriteTimeline(out, lines); err != nil {
		return err
	}
	if outcome := explain.Outcome(lines); outcome != "" {
		_, err = fmt.Fprintln(out, outcome)
	}
	return err
}

func readLog(path, subject string) (lines []explain.Line, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Read(f, filepath.Base(path), subject)
}
