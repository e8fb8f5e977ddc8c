package decision

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against ignoring unknown names: a comparison of strategies would then compare the default
// with itself and make a strategy look useless.
func TestChooseRejectsUnknownNames(t *testing.T) {
	is := is.New(t)
	for _, names := range []map[string]string{{"told-part": "off"}, {"told-parts": "of"}, {"drop": "off"}, {"": ""}} {
		s, err := Choose(names)
		is.True(errorx.IsOfType(err, ErrUnknown))
		is.True(!s.Disabled(ReportedBlocks))
	}
	s, err := Choose(map[string]string{"told-parts": "off", "drop": "by-price"})
	is.NoErr(err)
	is.True(s.Disabled(ReportedBlocks))
	is.True(!s.Disabled(ReportedWork))
	is.Equal(s.For(Drop), ByPrice)
	is.True(!Strategies{}.Disabled(ReportedBlocks))
}

// Each decision has at least two strategies, a unique name and a load pattern.
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
