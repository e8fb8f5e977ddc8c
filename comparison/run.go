package comparison

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
)

// Run simulates all days with all sets and writes the table of results to out. Checkouts are made
// from HEAD of repository. The figure of each simulation is written to progress. A simulation whose
// output has no figure is left out of the table, and progress says so.
func (p *Plan) Run(ctx context.Context, repository string, out, progress io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compare: %w", err)
		}
	}()
	folder, err := os.MkdirTemp("", "compare-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	r := &run{plan: p, repository: repository, progress: progress, figures: make(map[cell]float64)}
	for i, s := range p.Sets {
		path := filepath.Join(folder, strconv.Itoa(i))
		if err = r.checkout(ctx, path, s); err != nil {
			return err
		}
		defer r.remove(path)
		r.checkouts = append(r.checkouts, path)
	}
	r.simulateAll(ctx)
	if err = r.collect(); err != nil {
		return err
	}
	return writeTable(out, p, r.figures)
}

// run is the state of one comparison.
type run struct {
	plan       *Plan
	repository string
	progress   io.Writer
	// checkouts holds the path of each set's checkout.
	checkouts []string
	mu        sync.Mutex
	// figures holds the figure of each simulation that printed one.
	figures map[cell]float64
}

// cell identifies one simulation: a day and the index of a set.
type cell struct {
	day day
	set int
}

// checkout creates a worktree of HEAD and appends a set's strategies to its settings template.
func (r *run) checkout(ctx context.Context, path string, s Set) (err error) {
	if err = r.git(ctx, "worktree", "add", "--quiet", "--detach", path, "HEAD"); err != nil {
		return err
	}
	strategies, err := toml.Marshal(map[string]any{"decisions": map[string]any{"trial": true, "ways": s.Strategies}})
	if err != nil {
		return err
	}
	template := filepath.Join(path, r.plan.Template)
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	return os.WriteFile(template, append(text, strategies...), 0o644)
}

func (r *run) remove(path string) {
	if err := r.git(context.Background(), "worktree", "remove", "--force", path); err != nil {
		fmt.Fprintln(r.progress, err)
	}
}

func (r *run) git(ctx context.Context, args ...string) (err error) {
	out, err := exec.CommandContext(ctx, "git", append([]string{"-C", r.repository}, args...)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("git %s: %w: %s", args[0], err, out)
	}
	return nil
}

// simulateAll simulates each day with all sets before the next day, so that a run that is stopped
// early has results of all sets for the earlier days.
func (r *run) simulateAll(ctx context.Context) {
	cells := make(chan cell)
	var workers sync.WaitGroup
	for range r.plan.Jobs {
		workers.Go(func() {
			for c := range cells {
				r.simulate(ctx, c)
			}
		})
	}
	for _, d := range r.plan.days() {
		for i := range r.plan.Sets {
			cells <- cell{d, i}
		}
	}
	close(cells)
	workers.Wait()
}

func (r *run) simulate(ctx context.Context, c cell) {
	args := append(slices.Clone(r.plan.Simulator[1:]), c.day.site, c.day.name)
	if c.day.seed >= 0 {
		args = append(args, r.plan.SeedOption, strconv.FormatInt(c.day.seed, 10))
	}
	cmd := exec.CommandContext(ctx, r.plan.Simulator[0], args...)
	cmd.Dir = r.checkouts[c.set]
	out, err := cmd.CombinedOutput()
	figure, ok := r.plan.figureOf(string(out))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		fmt.Fprintf(r.progress, "%s %s %s: no figure (%v)\n", c.day.site, c.day, r.plan.Sets[c.set].Name, err)
		return
	}
	r.figures[c] = figure
	fmt.Fprintf(r.progress, "%s %s %s: %.3f\n", c.day.site, c.day, r.plan.Sets[c.set].Name, figure)
}

func (p *Plan) figureOf(out string) (figure float64, ok bool) {
	for line := range strings.Lines(out) {
		m := p.figure.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		figure, err := strconv.ParseFloat(m[1], 64)
		return figure, err == nil
	}
	return 0, false
}

// collect copies new files in the folders of Plan.Collect from the checkouts to the repository.
func (r *run) collect() (err error) {
	for _, name := range r.plan.Collect {
		for _, from := range r.checkouts {
			if err = copyNew(filepath.Join(from, name), filepath.Join(r.repository, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// copyNew copies the files of from that do not exist in to.
func copyNew(from, to string) (err error) {
	return filepath.WalkDir(from, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, name)
		if _, err = os.Lstat(target); err == nil {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err = os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		return os.WriteFile(target, data, 0o644)
	})
}
