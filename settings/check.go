package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing wrong with a file of settings.
type Fault struct {
	// Line is 0 for a key that the file lacks.
	Line int
	Key  string
	// Reason says what is wrong and what is allowed.
	Reason string
}

// String formats the fault to stand after a file's name.
func (f Fault) String() string {
	text := ": "
	if f.Line > 0 {
		text = fmt.Sprintf(":%d: ", f.Line)
	}
	if f.Key != "" {
		text += f.Key + ": "
	}
	return text + f.Reason
}

// Check reads settings over the defaults and returns every fault, in the order
// of their lines. The settings are of use only without faults.
func Check(data []byte, p Program) (s Settings, faults []Fault) {
	s = Default()
	tree := make(map[string]any)
	if err := toml.Unmarshal(data, &tree); err != nil {
		return s, []Fault{syntaxFault(err)}
	}
	c := &checker{program: p, settings: &s, lines: Lines(data), tree: tree, faulty: make(map[string]bool)}
	c.dropFaulty("", reflect.TypeFor[Settings](), tree)
	if err := c.fill(); err != nil {
		c.add("", "%s", err.Error())
	}
	c.checkProgram()
	for _, o := range Options {
		c.checkOption(o)
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return s, c.faults
}

func syntaxFault(err error) Fault {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Fault{Reason: err.Error()}
	}
	line, _ := d.Position()
	return Fault{Line: line, Key: strings.Join(d.Key(), "."), Reason: d.Error()}
}

// checker gathers the faults of one file.
type checker struct {
	program  Program
	settings *Settings
	// lines holds the line of each dotted key that the file sets.
	lines map[string]int
	tree  map[string]any
	// faulty holds keys whose value was dropped, so that each has one fault.
	faulty map[string]bool
	faults []Fault
}

func (c *checker) add(key, format string, a ...any) {
	c.faults = append(c.faults, Fault{Line: c.lines[key], Key: key, Reason: fmt.Sprintf(format, a...)})
	c.faulty[key] = true
}

// dropFaulty takes unknown keys and values of a wrong type out of the tree and
// reports them, so that the rest can still be judged.
func (c *checker) dropFaulty(prefix string, t reflect.Type, tree map[string]any) {
	for name, value := range tree {
		key := join(prefix, name)
		field, ok := fieldOf(t, name)
		if !ok {
			c.add(key, "%s", c.unknown(key, prefix, t))
			delete(tree, name)
			continue
		}
		if reason := c.descend(key, field, value); reason != "" {
			c.add(key, "%s", reason)
			delete(tree, name)
		}
	}
}

// descend checks one value and what lies below it, and returns a fault of the
// value itself.
func (c *checker) descend(key string, t reflect.Type, value any) (reason string) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		return wrongType(t, value)
	}
	table, ok := value.(map[string]any)
	if !ok {
		return "is " + nameOf(value) + ", a table is allowed"
	}
	c.dropFaulty(key, t, table)
	return ""
}

// renamed holds where options stand that had another name.
var renamed = map[string]string{"experiments": "decisions"}

// unknown says what may stand in the place of a key that is no option.
func (c *checker) unknown(key, prefix string, t reflect.Type) string {
	if now, ok := renamed[key]; ok {
		return "is now named " + now
	}
	return "is no option; " + c.near(prefix, t)
}

// near lists what stands at a place of the file.
func (c *checker) near(prefix string, t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for f := range fields(t) {
		names = append(names, f.Tag.Get("toml"))
	}
	slices.Sort(names)
	place := "at the top"
	if prefix != "" {
		place = "in " + prefix
	}
	return place + " are allowed " + strings.Join(names, ", ")
}

// fill decodes what is left of the tree over the defaults.
func (c *checker) fill() (err error) {
	data, err := toml.Marshal(c.tree)
	if err != nil {
		return err
	}
	return toml.Unmarshal(data, c.settings)
}

// checkProgram finds out which program the file is for. A process is either an
// entry or an endpoint, so both sections in one file cannot both take effect.
func (c *checker) checkProgram() {
	entry, endpoint := c.has("entry"), c.has("endpoint")
	switch {
	case entry && endpoint:
		c.add("endpoint", "stands beside entry; a process is one or the other, remove one of the two sections")
	case c.program == EntryProgram && endpoint:
		c.add("endpoint", "has no effect in an entry; remove the section")
	case c.program == EndpointProgram && entry:
		c.add("entry", "has no effect in an endpoint; remove the section")
	}
	if c.has("direct") && (c.program == AnyProgram || c.program == EntryProgram) {
		c.program = DirectProgram
	}
	if c.program != AnyProgram {
		return
	}
	c.program = OperatorProgram
	if entry {
		c.program = EntryProgram
	}
	if endpoint {
		c.program = EndpointProgram
	}
}

func (c *checker) has(section string) bool {
	_, ok := c.tree[section]
	return ok
}

// checkOption judges the value of one option, if it is set or needed.
func (c *checker) checkOption(o Option) {
	key := strings.TrimSuffix(o.Key, ".*")
	if c.faulty[key] {
		return
	}
	value := valueOf(reflect.ValueOf(*c.settings), key)
	needed := slices.Contains(o.needed, c.program)
	switch {
	case value.IsZero() && c.lines[key] == 0 && needed:
		c.add(key, "is missing, %s is needed", o.Allowed)
	case value.IsZero() && c.lines[key] == 0:
	case value.Kind() == reflect.String && value.IsZero():
		c.add(key, "is empty, %s is allowed", o.Allowed)
	case o.ok != nil && !o.ok(c.settings):
		c.add(key, "%s, %s is allowed", shown(key, value), o.Allowed)
	}
}

// shown formats a value for a fault. Secrets are not shown.
func shown(key string, value reflect.Value) string {
	if strings.HasPrefix(key, "session.keys") {
		return "is unfit"
	}
	if value.Kind() == reflect.String {
		return fmt.Sprintf("is %q", value.String())
	}
	return fmt.Sprintf("is %v", value.Interface())
}

// wrongType returns a reason when a value's type does not fit a field.
func wrongType(t reflect.Type, value any) (reason string) {
	ok, allowed := false, ""
	switch {
	case t == reflect.TypeFor[clock.Millis]():
		allowed = spanAllowed
		text, isText := value.(string)
		var m clock.Millis
		ok = isText && m.UnmarshalText([]byte(text)) == nil
	case t.Kind() == reflect.String:
		allowed = "a string"
		_, ok = value.(string)
	case t.Kind() == reflect.Bool:
		allowed = "true or false"
		_, ok = value.(bool)
	case t.Kind() == reflect.Float64:
		allowed = "a number"
		_, isFloat := value.(float64)
		_, isWhole := value.(int64)
		ok = isFloat || isWhole
	case t.Kind() == reflect.Slice:
		allowed = "an array"
		_, ok = value.([]any)
	default:
		allowed = "a whole number"
		_, ok = value.(int64)
	}
	if ok {
		return ""
	}
	return fmt.Sprintf("is %s, %s is allowed", nameOf(value), allowed)
}

func nameOf(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return fmt.Sprintf("%v", v)
	}
}

// Lines returns the line of each dotted key and table in a text that is known
// to be sound TOML.
func Lines(data []byte) (lines map[string]int) {
	lines = make(map[string]int)
	p := &unstable.Parser{}
	p.Reset(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = ""
			prefix = noteKey(p, e, prefix, lines)
		case unstable.KeyValue:
			noteValue(p, e, prefix, lines)
		}
	}
	return lines
}

func noteValue(p *unstable.Parser, e *unstable.Node, prefix string, lines map[string]int) {
	key := noteKey(p, e, prefix, lines)
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	for it := e.Value().Children(); it.Next(); {
		noteValue(p, it.Node(), key, lines)
	}
}

func noteKey(p *unstable.Parser, e *unstable.Node, prefix string, lines map[string]int) (key string) {
	key = prefix
	for it := e.Key(); it.Next(); {
		key = join(key, string(it.Node().Data))
		if lines[key] == 0 {
			lines[key] = p.Shape(it.Node().Raw).Start.Line
		}
	}
	return key
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
