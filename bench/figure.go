package main

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
}

// Baseline is the committed value of a figure and the bounds within which the figure must stay.
type Baseline struct {
	Value float64 `toml:"value"`
	// Min and Max are the inclusive bounds of the figure; nil means no bound on that side.
	Min *float64 `toml:"min,omitempty"`
	Max *float64 `toml:"max,omitempty"`
}

// digits is the number of significant digits that are printed and stored.
const digits = 6

func format(v float64) string { return strconv.FormatFloat(v, 'g', digits, 64) }

func readBaselines(path string) (base map[string]Baseline, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("bench: read %s: %w", path, err)
		}
	}()
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return map[string]Baseline{}, nil
	}
	if err != nil {
		return nil, err
	}
	err = toml.Unmarshal(data, &base)
	return base, err
}

func writeBaselines(path string, base map[string]Baseline, figures []Figure, prefix string) (err error) {
	dropUnmeasured(base, figures, prefix)
	for _, f := range figures {
		b := base[f.Name]
		b.Value, err = strconv.ParseFloat(format(f.Value), 64)
		if err != nil {
			return err
		}
		base[f.Name] = b
	}
	var out strings.Builder
	out.WriteString("# Baselines of make bench-check. Values are written by go run ./bench --write,\n# the bounds min and max by hand; a figure must repeat its value to the digit on\n# an unchanged build and stay within its bounds on a changed one.\n")
	for _, name := range sortedNames(base) {
		b := base[name]
		fmt.Fprintf(&out, "\n[%q]\nvalue = %s\n", name, tomlFloat(b.Value))
		if b.Min != nil {
			fmt.Fprintf(&out, "min = %s\n", tomlFloat(*b.Min))
		}
		if b.Max != nil {
			fmt.Fprintf(&out, "max = %s\n", tomlFloat(*b.Max))
		}
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}

// dropUnmeasured deletes the baselines whose names start with prefix and whose figures are no
// longer measured.
func dropUnmeasured(base map[string]Baseline, figures []Figure, prefix string) {
	measured := make(map[string]bool)
	for _, f := range figures {
		measured[f.Name] = true
	}
	for name := range base {
		if strings.HasPrefix(name, prefix) && !measured[name] {
			delete(base, name)
		}
	}
}

// tomlFloat formats v with a decimal point, so that TOML parses it as a float and not as an integer.
func tomlFloat(v float64) string {
	s := strconv.FormatFloat(v, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}

// compare reports every figure that is not a number, is outside its bounds or has no baseline. It
// also reports each baseline whose name starts with prefix and whose figure is no longer measured.
func compare(base map[string]Baseline, figures []Figure, prefix string) (failures []string) {
	measured := make(map[string]bool)
	for _, f := range figures {
		measured[f.Name] = true
		b, ok := base[f.Name]
		switch {
		case !ok:
			failures = append(failures, fmt.Sprintf("%s: %s has no baseline", f.Name, format(f.Value)))
		case math.IsNaN(f.Value) || b.Max != nil && f.Value > *b.Max:
			failures = append(failures, fmt.Sprintf("%s: %s, at most %s is allowed", f.Name, format(f.Value), bound(b.Max)))
		case b.Min != nil && f.Value < *b.Min:
			failures = append(failures, fmt.Sprintf("%s: %s, at least %s is allowed", f.Name, format(f.Value), bound(b.Min)))
		}
	}
	for _, name := range sortedNames(base) {
		if strings.HasPrefix(name, prefix) && !measured[name] {
			failures = append(failures, name+": is no longer measured")
		}
	}
	return failures
}

func bound(v *float64) string {
	if v == nil {
		return "a number"
	}
	return format(*v)
}
