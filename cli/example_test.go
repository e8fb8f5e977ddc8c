package cli

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/load"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/table"
)

// examplesOf returns the files of an example site whose names end in ending.
func examplesOf(t *testing.T, site, ending string) (paths []string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "examples", site, "*"+ending))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: no *%s: %v", site, ending, err)
	}
	return paths
}

// The examples are the templates for new sites. A site would fail at its first start if the
// settings, tables or load plan of its example were invalid or contradicted one another.
func TestExamplesAreConsistent(t *testing.T) {
	for _, site := range []string{"vakif", "capricorn"} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			c := &checkCommand{
				Tables:   append(examplesOf(t, site, "tables.toml"), examplesOf(t, site, "-out.toml")...),
				Settings: append(examplesOf(t, site, "entry.toml"), examplesOf(t, site, "endpoint.toml")...),
			}
			is.NoErr(c.check())
			tables, err := c.tables()
			is.NoErr(err)
			is.Equal(len(tables.Organisations), 10)
			checkPlan(t, examplesOf(t, site, "load.toml")[0], tables)
			for _, path := range c.Settings {
				program := settings.EndpointProgram
				if strings.HasSuffix(path, "entry.toml") {
					program = settings.EntryProgram
				}
				_, err = settings.ReadFor(path, program)
				is.NoErr(err)
			}
		})
	}
}

// checkPlan checks that the tables have the keys, route versions and services that a load plan
// uses.
func checkPlan(t *testing.T, path string, tables *table.Tables) {
	t.Helper()
	is := is.New(t)
	p, err := load.ReadPlan(path)
	is.NoErr(err)
	for _, o := range p.Organisations {
		name, ok := tables.OrganisationOf(table.HashKey(o.Key))
		is.True(ok)
		is.Equal(name, o.Name)
	}
	for _, r := range p.Routes {
		route, ok := tables.Routes[r.Name]
		is.True(ok)
		for _, v := range r.Versions {
			is.True(route.Allows(v))
		}
	}
	for _, s := range p.Services {
		_, ok := tables.Services[s.Name]
		is.True(ok)
	}
}
