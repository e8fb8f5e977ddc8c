package settings

import (
	"fmt"
	"iter"
	"reflect"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// fields yields the fields of a struct type, and nothing for other types.
func fields(t reflect.Type) iter.Seq[reflect.StructField] {
	return func(yield func(reflect.StructField) bool) {
		for i := 0; t.Kind() == reflect.Struct && i < t.NumField(); i++ {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// fieldType returns the type of the field or map value that has a name in the settings.
func fieldType(t reflect.Type, name string) (field reflect.Type, ok bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for f := range fields(t) {
		if f.Tag.Get("toml") == name {
			return f.Type, true
		}
	}
	return nil, false
}

// valueOf returns the value at a dotted key.
func valueOf(v reflect.Value, key string) reflect.Value {
	for name := range strings.SplitSeq(key, ".") {
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("toml") == name {
				v = v.Field(i)
				break
			}
		}
	}
	return v
}

// Keys returns the dotted keys of all fields of Settings. Options must contain exactly these.
func Keys() (keys []string) { return keysBelow("", reflect.TypeFor[Settings]()) }

func keysBelow(prefix string, t reflect.Type) (keys []string) {
	for f := range fields(t) {
		key := join(prefix, f.Tag.Get("toml"))
		switch f.Type.Kind() {
		case reflect.Struct:
			keys = append(keys, keysBelow(key, f.Type)...)
		case reflect.Map:
			keys = append(keys, key+".*")
		default:
			keys = append(keys, key)
		}
	}
	return keys
}

// Markdown returns Options as the table in OPERATORS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	for _, o := range Options {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Key, defaultOf(o), o.Allowed, o.Doc)
	}
	return b.String()
}

func defaultOf(o Option) string {
	v := valueOf(reflect.ValueOf(Default()), strings.TrimSuffix(o.Key, ".*"))
	switch {
	case len(o.requiredBy) > 0 && v.IsZero():
		return "needed by " + programNames(o.requiredBy)
	case v.Type() == reflect.TypeFor[clock.Millis]():
		return fmt.Sprintf("`%q`", v.Interface().(clock.Millis).String())
	case v.Kind() == reflect.Map, v.Kind() == reflect.String && v.IsZero():
		return "none"
	case v.Kind() == reflect.String:
		return fmt.Sprintf("`%q`", v.String())
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

func programNames(programs []Program) string {
	names := map[Program]string{EntryProgram: "entry", EndpointProgram: "endpoint", OperatorProgram: "operators", DirectProgram: "direct entry"}
	var out []string
	for _, p := range programs {
		out = append(out, names[p])
	}
	return strings.Join(out, ", ")
}
