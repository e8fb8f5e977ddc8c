package cli

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/comparison"
)

type compareStrategiesCommand struct {
	command
	Repository string `long:"repository" default:"." value-name:"FOLDER" description:"checkout whose commit is played"`
	Args       struct {
		Plan string `positional-arg-name:"PLAN" description:"file that names the ways, days and seeds" required:"yes"`
	} `positional-args:"yes"`
}

func addCompare(p *flags.Parser) error {
	c := &compareStrategiesCommand{}
	c.run = func(ctx context.Context, _ []string) error {
		plan, err := comparison.ReadPlan(c.Args.Plan)
		if err != nil {
			return err
		}
		return plan.Run(ctx, c.Repository, os.Stdout, os.Stderr)
	}
	_, err := p.AddCommand("compare", "Compare ways of decisions on the same days",
		"Compare plays days with decisions made in several ways, each in a checkout of its own, and prints the mean figure of each way by site and its difference from the first one, day by day, with the interval that holds it in 95 of 100 cases.", c)
	return err
}
