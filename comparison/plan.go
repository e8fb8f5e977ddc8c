// Package comparison plays the same days with decisions made in different ways, and
// compares what comes of it pair by pair. Each set of ways has a checkout of its own,
// whose settings template chooses them.
package comparison

import (
	"fmt"
	"os"
	"regexp"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/pelletier/go-toml/v2"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("comparison")

// ErrPlan marks a plan that cannot be played.
var ErrPlan = Errors.NewType("plan")

// Plan says what is compared, and on what.
type Plan struct {
	// Player is the program that plays a day, with its first arguments. It gets a play's
	// site, day and seed beside them, and runs in the checkout.
	Player []string `toml:"player"`
	// Seed is the option that names a seed to the player.
	Seed string `toml:"seed-option"`
	// Figure is a regular expression; its first group is the figure in the player's output.
	Figure string `toml:"figure"`
	// Template is the settings template that gets the ways.
	Template string `toml:"template"`
	// Collect names folders whose new files are taken over from the checkouts.
	Collect []string `toml:"collect"`
	// Jobs is how many plays run at once.
	Jobs int `toml:"jobs"`
	// Sets holds the ways to compare, the one to compare with first.
	Sets  []Set  `toml:"sets"`
	Plays []Play `toml:"plays"`

	figure *regexp.Regexp
}

// Set is a set of ways by the names of their decisions.
type Set struct {
	Name       string            `toml:"name"`
	Strategies map[string]string `toml:"ways"`
}

// Play names days of a site and the seeds that each is played on; without seeds each is
// played once, on its own.
type Play struct {
	Site  string   `toml:"site"`
	Days  []string `toml:"days"`
	Seeds []int64  `toml:"seeds"`
}

// ReadPlan reads a plan from a file and checks it.
func ReadPlan(path string) (p *Plan, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, ErrPlan.Wrap(err, "read plan")
	}
	defer f.Close()
	p = &Plan{}
	if err = toml.NewDecoder(f).DisallowUnknownFields().Decode(p); err != nil {
		return nil, ErrPlan.Wrap(err, "%s", path)
	}
	return p, p.check()
}

func (p *Plan) check() (err error) {
	switch {
	case len(p.Player) == 0:
		return ErrPlan.New("player is empty")
	case p.Template == "":
		return ErrPlan.New("template is empty")
	case p.Jobs < 1:
		return ErrPlan.New("jobs is %d, 1 or more is allowed", p.Jobs)
	case len(p.Sets) < 2:
		return ErrPlan.New("sets: two or more are needed")
	}
	if p.figure, err = regexp.Compile(p.Figure); err != nil {
		return ErrPlan.Wrap(err, "figure")
	}
	if p.figure.NumSubexp() != 1 {
		return ErrPlan.New("figure needs one group")
	}
	names := make(map[string]bool)
	for _, s := range p.Sets {
		if _, err = decision.Choose(s.Strategies); err != nil {
			return ErrPlan.Wrap(err, "set %q", s.Name)
		}
		if s.Name == "" || names[s.Name] {
			return ErrPlan.New("set %q stands twice, or has no name", s.Name)
		}
		names[s.Name] = true
	}
	if len(p.days()) == 0 {
		return ErrPlan.New("plays: no day is named")
	}
	return nil
}

// day is one day on one seed.
type day struct {
	site string
	name string
	// seed is -1 for the day's own.
	seed int64
}

func (d day) String() string {
	if d.seed < 0 {
		return d.name
	}
	return fmt.Sprintf("%s (%d)", d.name, d.seed)
}

func (p *Plan) days() (all []day) {
	for _, play := range p.Plays {
		for _, name := range play.Days {
			if len(play.Seeds) == 0 {
				all = append(all, day{play.Site, name, -1})
			}
			for _, seed := range play.Seeds {
				all = append(all, day{play.Site, name, seed})
			}
		}
	}
	return all
}
