// Package comparison plays the same days with different strategies for decisions and compares the
// results pairwise. Each set of strategies has a checkout of its own, whose settings template
// selects them.
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

// ErrPlan is returned for a plan that cannot be read or played.
var ErrPlan = Errors.NewType("plan")

// Plan defines what is compared, and on which days.
type Plan struct {
	// Simulator is the program that plays a day, followed by its first arguments. The site, day and
	// seed of a play are appended to them. It runs in the checkout.
	Simulator []string `toml:"player"`
	// SeedOption is the option of the player that sets the seed.
	SeedOption string `toml:"seed-option"`
	// Figure is a regular expression. Its only group matches the compared figure in the player's
	// output.
	Figure string `toml:"figure"`
	// Template is the settings template to which the strategies are appended.
	Template string `toml:"template"`
	// Collect names folders from which new files are copied out of the checkouts.
	Collect []string `toml:"collect"`
	// Jobs is how many plays run concurrently.
	Jobs int `toml:"jobs"`
	// Sets holds the sets of strategies. The first one is the baseline.
	Sets  []Set      `toml:"sets"`
	Sites []SiteDays `toml:"plays"`

	figure *regexp.Regexp
}

// Set is a named set of strategies, by the names of their decisions.
type Set struct {
	Name       string            `toml:"name"`
	Strategies map[string]string `toml:"ways"`
}

// SiteDays lists days of a site and the seeds for each of them. Without seeds each day is played once,
// with its own seed.
type SiteDays struct {
	Site  string   `toml:"site"`
	Days  []string `toml:"days"`
	Seeds []int64  `toml:"seeds"`
}

// ReadPlan reads a plan from a file and validates it. Its error is ErrPlan.
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
	case len(p.Simulator) == 0:
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

// day is one day with one seed.
type day struct {
	site string
	name string
	// seed is -1 for the seed of the day itself.
	seed int64
}

func (d day) String() string {
	if d.seed < 0 {
		return d.name
	}
	return fmt.Sprintf("%s (%d)", d.name, d.seed)
}

func (p *Plan) days() (all []day) {
	for _, play := range p.Sites {
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
