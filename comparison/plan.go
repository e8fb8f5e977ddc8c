// Package comparison runs simulated days with different strategies for the router's decisions and
// compares the results pairwise. Each set of strategies has its own checkout of the repository, in
// which the settings template selects the set.
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

// ErrPlan is returned for a plan that cannot be read or is not valid.
var ErrPlan = Errors.NewType("plan")

// Plan defines which sets of strategies are compared, and on which simulated days.
type Plan struct {
	// Simulator is the command that simulates one day: the program and its first arguments. The
	// site, the day and, if there is one, the seed are appended. It runs in the checkout of the
	// set.
	Simulator []string `toml:"player"`
	// SeedOption is the command-line option of the simulator that precedes the seed.
	SeedOption string `toml:"seed-option"`
	// Figure is a regular expression with one group, which matches the figure to compare in the
	// simulator's output.
	Figure string `toml:"figure"`
	// Template is the path of the settings template to which the set's strategies are appended.
	Template string `toml:"template"`
	// Collect lists folders whose new files are copied from the checkouts to the repository after
	// the run.
	Collect []string `toml:"collect"`
	// Jobs is how many simulations run concurrently.
	Jobs int `toml:"jobs"`
	// Sets holds the sets of strategies. The first set is the baseline that the others are compared
	// with.
	Sets  []Set      `toml:"sets"`
	Sites []SiteDays `toml:"plays"`

	figure *regexp.Regexp
}

// Set is a named set of strategies. Strategies maps the name of a decision to its strategy.
type Set struct {
	Name       string            `toml:"name"`
	Strategies map[string]string `toml:"ways"`
}

// SiteDays lists the days of a site and the seeds to simulate each of them with. Without seeds each
// day is simulated once, with the day's own seed.
type SiteDays struct {
	Site  string   `toml:"site"`
	Days  []string `toml:"days"`
	Seeds []int64  `toml:"seeds"`
}

// ReadPlan reads a plan from a file and validates it. All its errors are of type ErrPlan.
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

// day is a simulated day with one seed.
type day struct {
	site string
	name string
	// seed is -1 if the day's own seed is used.
	seed int64
}

func (d day) String() string {
	if d.seed < 0 {
		return d.name
	}
	return fmt.Sprintf("%s (%d)", d.name, d.seed)
}

func (p *Plan) days() (all []day) {
	for _, siteDays := range p.Sites {
		for _, name := range siteDays.Days {
			if len(siteDays.Seeds) == 0 {
				all = append(all, day{siteDays.Site, name, -1})
			}
			for _, seed := range siteDays.Seeds {
				all = append(all, day{siteDays.Site, name, seed})
			}
		}
	}
	return all
}
