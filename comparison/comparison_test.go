package comparison

import (
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// An invalid plan must be rejected at once, and not after an hour of simulations whose results
// cannot be compared.
func TestInvalidPlansAreRejected(t *testing.T) {
	datadriven.RunTest(t, "testdata/plans", func(t *testing.T, d *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "plan.toml")
		if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadPlan(path)
		if err == nil {
			return "playable\n"
		}
		if !errorx.IsOfType(err, ErrPlan) {
			t.Fatalf("%v is not an ErrPlan", err)
		}
		return strings.ReplaceAll(err.Error(), path, "plan.toml") + "\n"
	})
}

// A set of strategies may be better on one day by chance. With few pairs of results the confidence
// interval must be wide enough to show this.
func TestDifferenceInterval(t *testing.T) {
	is := is.New(t)
	mean, half := difference([]float64{0.5, 0.6, 0.7}, []float64{0.6, 0.7, 0.8})
	is.True(math.Abs(mean-0.1) < 1e-9 && half < 1e-9)
	mean, half = difference([]float64{0, 0, 0}, []float64{0.1, 0, -0.1})
	is.True(math.Abs(mean) < 1e-9)
	is.True(math.Abs(half-0.2484) < 1e-3) // 4.303 (t quantile 0.975, 2 degrees of freedom) * 0.1 / sqrt(3)
	_, half = difference([]float64{0}, []float64{1})
	is.True(math.IsNaN(half))
}

// Each set of strategies must be simulated in its own checkout. If the simulation of a day fails
// with one set, the results table must leave that day out for all sets.
func TestRunSimulatesEachSet(t *testing.T) {
	is := is.New(t)
	repository := repositoryWith(t, "vm = \"a\"\n")
	simulator := filepath.Join(t.TempDir(), "player")
	script := "#!/bin/sh\nmkdir -p journal; echo $2 >journal/$2-$$\n[ $2 = broken ] && grep -q by-price template.toml && exit 1\ngrep -q by-price template.toml && echo worth 0.75 || echo worth 0.5\n"
	is.NoErr(os.WriteFile(simulator, []byte(script), 0o700))
	p := &Plan{
		Simulator: []string{simulator}, Figure: `^worth ([0-9.]+)`, Template: "template.toml", Collect: []string{"journal"}, Jobs: 2,
		Sets:  []Set{{Name: "now", Strategies: map[string]string{"drop": "by-time"}}, {Name: "other", Strategies: map[string]string{"drop": "by-price"}}},
		Sites: []SiteDays{{Site: "sites/one.toml", Days: []string{"calm", "busy", "broken"}}},
	}
	is.NoErr(p.check())
	var out, progress strings.Builder
	is.NoErr(p.Run(context.Background(), repository, &out, &progress))
	is.True(strings.Contains(out.String(), "| one | 2 | 0.5000 | 0.7500 | +0.2500 ± 0.0000 |"))
	is.True(strings.Contains(progress.String(), "broken other: no figure"))
	copied, err := filepath.Glob(filepath.Join(repository, "journal", "*"))
	is.NoErr(err)
	is.Equal(len(copied), 6) // the files of failed simulations are copied too
}

func repositoryWith(t *testing.T, template string) (folder string) {
	t.Helper()
	folder = t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "template.toml"), []byte(template), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"init", "-q"}, {"add", "."}, {"-c", "user.name=t", "-c", "user.email=t@example", "commit", "-q", "-m", "t"}} {
		if out, err := exec.Command("git", append([]string{"-C", folder}, args...)...).CombinedOutput(); err != nil {
			t.Fatalf("git %v: %v: %s", args, err, out)
		}
	}
	return folder
}
