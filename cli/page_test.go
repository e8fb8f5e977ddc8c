package cli

import (
	"bufio"
	"bytes"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/table"
)

// pageRows returns the table rows under a heading of OPERATORS.md whose first cell is a name in
// backquotes. It maps each name to the cells after it.
func pageRows(t *testing.T, heading string) (rows map[string][]string) {
	t.Helper()
	data, err := os.ReadFile("../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows = make(map[string][]string)
	inside := false
	for sc := bufio.NewScanner(bytes.NewReader(data)); sc.Scan(); {
		line := sc.Text()
		if strings.HasPrefix(line, "## ") {
			inside = line == "## "+heading
		}
		if !inside || !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		rows[strings.Trim(cells[0], " `")] = cells[1:]
	}
	return rows
}

// compareRows reports an error for each name that is in only one of rows and names.
func compareRows(t *testing.T, kind string, rows map[string][]string, names []string) {
	t.Helper()
	for _, n := range names {
		if _, ok := rows[n]; !ok {
			t.Errorf("%s %q is not in OPERATORS.md", kind, n)
		}
	}
	for n := range rows {
		if !slices.Contains(names, n) {
			t.Errorf("%s %q is only in OPERATORS.md", kind, n)
		}
	}
}

func TestPageListsEveryCommand(t *testing.T) {
	is := is.New(t)
	p, err := newOperatorParser()
	is.NoErr(err)
	var names []string
	for _, c := range p.Commands() {
		names = append(names, c.Name)
	}
	compareRows(t, "command", pageRows(t, "Commands"), names)
}

func TestPageListsEveryRefusal(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("../refusal/refusal.go")
	is.NoErr(err)
	var names []string
	rows := pageRows(t, "Refusals")
	for _, m := range regexp.MustCompile(`Code = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1) {
		names = append(names, m[1])
		status := strconv.Itoa(refusal.New(refusal.Code(m[1]), "").Status())
		if cells := rows[m[1]]; len(cells) > 0 && strings.TrimSpace(cells[0]) != status {
			t.Errorf("refusal %q has status %s, OPERATORS.md has %s", m[1], status, cells[0])
		}
	}
	compareRows(t, "refusal", rows, names)
}

func TestPageListsEveryTableField(t *testing.T) {
	compareRows(t, "field", pageRows(t, "Tables"), fieldsBelow("", reflect.TypeFor[table.Change]()))
}

// fieldsBelow lists the dotted TOML keys of a struct type, with "*" in place of each map key.
func fieldsBelow(prefix string, t reflect.Type) (keys []string) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		key, field := prefix+name, t.Field(i).Type
		if field.Kind() == reflect.Map && field.Elem().Kind() == reflect.Struct {
			key, field = key+".*", field.Elem()
		}
		if field.Kind() == reflect.Slice && field.Elem().Kind() == reflect.Struct {
			field = field.Elem()
		}
		if field.Kind() == reflect.Struct {
			keys = append(keys, fieldsBelow(key+".", field)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func TestPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	var operators []string
	l := startLocal(t, engineParams{tokens: 1}, func(l *local) {
		l.adjust = func(s *settings.Settings) { operators = append(operators, s.Operators) }
	})
	for _, route := range []string{"quick", "unknown"} {
		_, _, err := l.sendChat(t.Context(), route, "")
		is.NoErr(err)
	}
	rows := pageRows(t, "Metrics")
	for _, address := range operators {
		resp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			continue // adjust is also called for the operators' client, which has no interface
		}
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		for _, m := range regexp.MustCompile(`(?m)^(parsleydeal_\w+)`).FindAllString(string(data), -1) {
			name := strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(m, "_bucket"), "_sum"), "_count")
			if _, ok := rows[name]; !ok {
				t.Errorf("metric %s is not in OPERATORS.md", name)
			}
		}
	}
	source := allSource(t)
	for name := range rows {
		is.True(strings.Contains(source, name)) // each metric of the page must be named in the source
	}
}

func allSource(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}
