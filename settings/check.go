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

// Fault is one error in a settings file.
type Fault struct {
	// Line is 0 for a key that is missing from the file.
	Line int
	Key  string
	// Reason describes the error and the allowed values.
	Reason string
}

// String formats the fault so that it can be appended to the name of the file.
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

// Check decodes settings over the defaults and returns every fault, ordered by line. The settings may
// be used only if there are no faults.
func Check(data []byte, p Program) (s Settings, faults []Fault) {
	s = Default()
	tree := make(map[string]any)
	if err := toml.Unmarshal(data, &tree); err != nil {
		return s, []Fault{syntaxFault(err)}
	}
	c := &checker{program: p, settings: &s, lines: Lines(data), tree: tree, faulty: make(map[string]bool)}
	c.dropInvalid("", reflect.TypeFor[Settings](), tree)
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
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return Fault{Reason: err.Error()}
	}
	line, _ := decodeErr.Position()
	return Fault{Line: line, Key: strings.Join(decodeErr.Key(), "."), Reason: decodeErr.Error()}
}

// checker collects the faults of one file.
type checker struct {
	program  Program
	settings *Settings
	// lines maps each dotted key in the file to its line.
	lines map[string]int
	tree  map[string]any
	// faulty holds the keys that have a fault, so that no further fault is reported for them.
	faulty map[string]bool
	faults []Fault
}

func (c *checker) add(key, format string, a ...any) {
	c.faults = append(c.faults, Fault{Line: c.lines[key], Key: key, Reason: fmt.Sprintf(format, a...)})
	c.faulty[key] = true
}

// dropInvalid reports unknown keys and values of the wrong type and removes them from the tree, so that
// the rest can still be decoded and checked.
func (c *checker) dropInvalid(prefix string, t reflect.Type, tree map[string]any) {
	for name, value := range tree {
		key := join(prefix, name)
		field, ok := fieldType(t, name)
		if !ok {
			c.add(key, "%s", c.unknownReason(key, prefix, t))
			delete(tree, name)
			continue
		}
		if reason := c.checkValue(key, field, value); reason != "" {
			c.add(key, "%s", reason)
			delete(tree, name)
		}
	}
}

// checkValue checks the type of one value and of the values nested in it. It returns what is wrong
// with the value itself, or an empty reason. Faults of nested values are added to the checker.
func (c *checker) checkValue(key string, t reflect.Type, value any) (reason string) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		return wrongType(t, value)
	}
	table, ok := value.(map[string]any)
	if !ok {
		return "is " + describe(value) + ", a table is allowed"
	}
	c.dropInvalid(key, t, table)
	return ""
}

// renamedKeys maps former option names to current ones.
var renamedKeys = map[string]string{"experiments": "decisions"}

// unknownReason returns the reason for an unknown key, with the allowed names.
func (c *checker) unknownReason(key, prefix string, t reflect.Type) string {
	if current, ok := renamedKeys[key]; ok {
		return "is now named " + current
	}
	return "is no option; " + c.allowedNames(prefix, t)
}

// allowedNames lists the names that a section of the file may contain.
func (c *checker) allowedNames(prefix string, t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for f := range fields(t) {
		names = append(names, f.Tag.Get("toml"))
	}
	slices.Sort(names)
	section := "at the top"
	if prefix != "" {
		section = "in " + prefix
	}
	return section + " are allowed " + strings.Join(names, ", ")
}

// fill decodes the remaining tree over the defaults.
func (c *checker) fill() (err error) {
	data, err := toml.Marshal(c.tree)
	if err != nil {
		return err
	}
	return toml.Unmarshal(data, c.settings)
}

// checkProgram determines which program the file is for. A process is either an entry or an endpoint,
// so a file with both sections is invalid.
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

// checkOption checks the value of one option if it is set or required.
func (c *checker) checkOption(o Option) {
	key := strings.TrimSuffix(o.Key, ".*")
	if c.faulty[key] {
		return
	}
	value := valueOf(reflect.ValueOf(*c.settings), key)
	required := slices.Contains(o.requiredBy, c.program)
	switch {
	case value.IsZero() && c.lines[key] == 0 && required:
		c.add(key, "is missing, %s is needed", o.Allowed)
	case value.IsZero() && c.lines[key] == 0:
	case value.Kind() == reflect.String && value.IsZero():
		c.add(key, "is empty, %s is allowed", o.Allowed)
	case o.valid != nil && !o.valid(c.settings):
		c.add(key, "%s, %s is allowed", formatValue(key, value), o.Allowed)
	}
}

// formatValue formats a value for a fault. Secrets are omitted.
func formatValue(key string, value reflect.Value) string {
	if strings.HasPrefix(key, "session.keys") {
		return "is unfit"
	}
	if value.Kind() == reflect.String {
		return fmt.Sprintf("is %q", value.String())
	}
	return fmt.Sprintf("is %v", value.Interface())
}

// wrongType returns a reason if the value does not have the type of the field.
func wrongType(t reflect.Type, value any) (reason string) {
	ok, allowed := false, ""
	switch {
	case t == reflect.TypeFor[clock.Millis]():
		allowed = durationAllowed
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
		_, isInteger := value.(int64)
		ok = isFloat || isInteger
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
	return fmt.Sprintf("is %s, %s is allowed", describe(value), allowed)
}

func describe(value any) string {
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

// Lines returns the line of each dotted key and table. The data must be valid TOML.
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
			prefix = recordKey(p, e, prefix, lines)
		case unstable.KeyValue:
			recordValue(p, e, prefix, lines)
		}
	}
	return lines
}

func recordValue(p *unstable.Parser, e *unstable.Node, prefix string, lines map[string]int) {
	key := recordKey(p, e, prefix, lines)
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	for it := e.Value().Children(); it.Next(); {
		recordValue(p, it.Node(), key, lines)
	}
}

func recordKey(p *unstable.Parser, e *unstable.Node, prefix string, lines map[string]int) (key string) {
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
