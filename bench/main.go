// Command bench benchmarks the decisions of the router in virtual time. The benchmarks use fixed
// seeds and call the same functions as the daemons, so an unchanged build reproduces every figure
// to the last digit. The command compares the figures with the committed baselines. It exits with 1
// if a figure is outside its bounds, has no baseline or is no longer measured.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Baselines string `long:"baselines" default:"bench/baselines.toml" description:"file of the baselines"`
	Write     bool   `long:"write" description:"write the measured values into the file, keeping the bounds"`
	Only      string `long:"only" description:"run only benchmarks whose name begins so"`
}

// benchmark measures one kind of decision.
type benchmark struct {
	name string
	run  func() []Figure
}

// benchmarks returns all benchmarks in the order in which they run.
func benchmarks() []benchmark {
	return []benchmark{
		{"rollout", benchRollout},
		{"billing", benchBilling},
		{"quality", benchQuality},
		{"limit", benchLimit},
		{"choice", benchChoice},
		{"zone", benchZone},
	}
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) (err error) {
	var figures []Figure
	for _, b := range benchmarks() {
		if !strings.HasPrefix(b.name, o.Only) {
			continue
		}
		figures = append(figures, b.run()...)
	}
	for _, f := range figures {
		fmt.Printf("%-60s %14s\n", f.Name, format(f.Value))
	}
	base, err := readBaselines(o.Baselines)
	if err != nil {
		return err
	}
	if o.Write {
		return writeBaselines(o.Baselines, base, figures, o.Only)
	}
	failures := compare(base, figures, o.Only)
	if len(failures) > 0 {
		return fmt.Errorf("bench: %d figures fail the check:\n%s", len(failures), strings.Join(failures, "\n"))
	}
	return nil
}

func sortedNames(base map[string]Baseline) (names []string) {
	for name := range base {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
