package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against regressions that the check would accept: a figure got worse, or its benchmark or
// baseline is missing.
func TestCompareFindsRegressions(t *testing.T) {
	is := is.New(t)
	low, high := 1.0, 3.0
	base := map[string]Baseline{"a": {Value: 2, Min: &low, Max: &high}, "b": {Value: 2}}
	is.Equal(len(compare(base, []Figure{{"a", 2}, {"b", 9}}, "")), 0)
	is.Equal(compare(base, []Figure{{"a", 3.5}, {"b", 2}}, "")[0], "a: 3.5, at most 3 is allowed")
	is.Equal(compare(base, []Figure{{"a", 0.5}, {"b", 2}}, "")[0], "a: 0.5, at least 1 is allowed")
	is.Equal(compare(base, []Figure{{"a", 2}}, "")[0], "b: is no longer measured")
	is.Equal(compare(base, []Figure{{"a", 2}, {"b", 2}, {"c", 1}}, "")[0], "c: 1 has no baseline")
}
