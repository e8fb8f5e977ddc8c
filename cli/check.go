package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/pelletier/go-toml/v2"
)

type checkCommand struct {
	command
	Settings []string `long:"settings" short:"s" description:"file of settings in TOML; may be repeated"`
	Tables   []string `long:"tables" short:"t" description:"file of a change in TOML; may be repeated, and then each is applied to what the earlier ones made"`
	Options  bool     `long:"options" description:"print the table of all settings and exit"`
}

func addCheck(p *flags.Parser) error {
	c := &checkCommand{}
	c.run = func(context.Context, []string) error { return c.check() }
	_, err := p.AddCommand("check", "Check settings and tables",
		"Check reports every fault of settings and tables with its file, line and key and what is allowed, and checks them against each other. It talks to nobody.", c)
	return err
}

func (c *checkCommand) check() (err error) {
	if c.Options {
		fmt.Print(settings.Markdown())
		return nil
	}
	if len(c.Settings)+len(c.Tables) == 0 {
		return fmt.Errorf("check: --settings or --tables is needed: %w", errUsage)
	}
	t, err := c.tables()
	errs := []error{err}
	for _, path := range c.Settings {
		s, err := settings.Read(path)
		if err == nil && t != nil {
			err = checkAgainstTables(path, s, t)
		}
		errs = append(errs, err)
	}
	if err = joinFaults(errs); err != nil {
		return err
	}
	fmt.Println("no faults")
	return nil
}

// joinFaults joins errors into one error, each starting on a new line. It returns nil if there are
// none.
func joinFaults(errs []error) error {
	var lines []string
	for _, err := range errs {
		if err != nil {
			lines = append(lines, settings.MessageOf(err))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return settings.ErrInvalid.New("%s", strings.Join(lines, "\n"))
}

// tables applies the changes of all table files in order and returns the resulting tables.
func (c *checkCommand) tables() (t *table.Tables, err error) {
	var state table.State
	for i, path := range c.Tables {
		change, err := readChange(path)
		if err != nil {
			return nil, err
		}
		change.ID, change.Base = fmt.Sprint(i), state.Revision()
		if err = preview(path, &state, change); err != nil {
			return nil, err
		}
	}
	return state.Tables(), nil
}

// preview applies a change to a copy of the tables' state as every process will once the change is
// on the log. It returns an error if the processes will reject the change.
func preview(path string, state *table.State, c *table.Change) (err error) {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	o, _ := state.Apply(state.Offset(), data)
	if o.Accepted {
		return nil
	}
	return settings.ErrInvalid.New("%s", addLineNumbers(path, o.Reason))
}

// addLineNumbers prefixes each line of reason, which describes one fault of a change and starts
// with the key at fault, with the file and the line of that key.
func addLineNumbers(path, reason string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return path + ": " + reason
	}
	lineNumbers := settings.Lines(data)
	faults := strings.Split(strings.TrimPrefix(reason, table.ErrInvalid.FullName()+": "), "\n")
	for i, f := range faults {
		key, _, _ := strings.Cut(f, ": ")
		faults[i] = fmt.Sprintf("%s:%d: %s", path, lineOf(lineNumbers, "tables."+key), f)
	}
	return strings.Join(faults, "\n")
}

// lineOf returns the line of a key. If the file lacks the key, it returns the line of the innermost
// TOML table that would contain it.
func lineOf(lineNumbers map[string]int, key string) int {
	for key != "" {
		if line := lineNumbers[key]; line > 0 {
			return line
		}
		key = key[:max(strings.LastIndex(key, "."), 0)]
	}
	return 1
}

// readChange reads a change from a file. The file may omit id, author and base; an omitted base
// is set to noBase.
func readChange(path string) (c *table.Change, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.ErrInvalid.Wrap(err, "read tables")
	}
	c, err = table.ParseChange(data)
	if err != nil {
		return nil, settings.ErrInvalid.New("%s", parseFaults(path, err))
	}
	if settings.Lines(data)["base"] == 0 {
		c.Base = noBase
	}
	if c.Kind != table.Whole && c.Kind != table.Patch {
		return nil, settings.ErrInvalid.New("%s:%d: kind: is %q, \"whole\" or \"patch\" is allowed", path, max(settings.Lines(data)["kind"], 1), c.Kind)
	}
	return c, nil
}

// noBase marks a change whose file sets no base. No revision has this value.
const noBase = -2

// parseFaults formats errors of the TOML library with file and line.
func parseFaults(path string, err error) string {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	if e := errorx.Cast(err); e != nil && e.Cause() != nil {
		err = e.Cause()
	}
	switch {
	case errors.As(err, &strict):
		var lines []string
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: is not known", path, row, strings.Join(e.Key(), ".")))
		}
		return strings.Join(lines, "\n")
	case errors.As(err, &decode):
		row, _ := decode.Position()
		return fmt.Sprintf("%s:%d: %s: %s", path, row, strings.Join(decode.Key(), "."), decode.Error())
	}
	return path + ": " + err.Error()
}

// checkAgainstTables checks settings against tables. An endpoint would never get a request if its
// pool is missing from the tables, is for the other kind of endpoint (model or plain service) or
// does not allow its zone.
func checkAgainstTables(path string, s settings.Settings, t *table.Tables) error {
	if s.Endpoint.Pool == "" {
		return nil
	}
	pool, ok := t.Pools[s.Endpoint.Pool]
	switch {
	case !ok:
		return settings.ErrInvalid.New("%s: endpoint.pool: no pool %q in the tables", path, s.Endpoint.Pool)
	case s.Endpoint.Plain && len(pool.Versions) > 0:
		return settings.ErrInvalid.New("%s: endpoint.plain: is true, yet pool %q serves versions", path, s.Endpoint.Pool)
	case !s.Endpoint.Plain && len(pool.Versions) == 0:
		return settings.ErrInvalid.New("%s: endpoint.plain: is false, yet pool %q serves no versions", path, s.Endpoint.Pool)
	case len(pool.Zones) > 0 && !slices.Contains(pool.Zones, s.Zone):
		return settings.ErrInvalid.New("%s: zone: is %q, pool %q allows %v", path, s.Zone, s.Endpoint.Pool, pool.Zones)
	}
	return nil
}
