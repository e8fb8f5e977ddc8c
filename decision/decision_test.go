package decision

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// A name that nothing knows would measure nothing, and look like a way that is worth nothing.
func TestChooseRejectsUnknownNames(t *testing.T) {
	is := is.New(t)
	for _, names := range []map[string]string{{"told-part": "off"}, {"told-parts": "of"}, {"drop": "off"}, {"": ""}} {
		w, err := Choose(names)
		is.True(errorx.IsOfType(err, ErrUnknown))
		is.True(!w.Disabled(ReportedBlocks))
	}
	w, err := Choose(map[string]string{"told-parts": "off", "drop": "by-price"})
	is.NoErr(err)
	is.True(w.Disabled(ReportedBlocks))
	is.True(!w.Disabled(ReportedWork))
	is.Equal(w.For(Drop), ByPrice)
	is.True(!Strategies{}.Disabled(ReportedBlocks))
}

// Each decision has two ways at least, one name, and says which load it answers.
func TestDecisionsHaveStrategies(t *testing.T) {
	is := is.New(t)
	seen := make(map[Name]bool)
	for _, d := range All {
		is.True(len(d.Strategies) >= 2)
		is.True(d.Load != "" && !seen[d.Name])
		seen[d.Name] = true
		is.Equal(Strategies{}.For(d.Name), d.Strategies[0])
	}
}
