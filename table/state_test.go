package table

import (
	"testing"

	"github.com/matryer/is"
)

const firstChange = `
id = "a"
author = "ops"
kind = "whole"
base = -1
[tables.organisations.desk]
weight = 1
`

// Two operators publish on the same revision. Both see their append succeed,
// yet only the first in log order may take effect, or the second would silently
// undo the first.
func TestRacingChangesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	var s State
	o, ok := s.Apply(0, []byte(firstChange))
	is.True(ok)
	is.True(o.Accepted) // the first change has nothing to conflict with
	one, _ := s.Apply(1, []byte("id=\"b\"\nkind=\"patch\"\nbase=0\n[tables.zones.a]\nstate=\"out\"\n"))
	two, _ := s.Apply(2, []byte("id=\"c\"\nkind=\"patch\"\nbase=0\n[tables.zones.b]\nstate=\"out\"\n"))
	is.True(one.Accepted)
	is.True(!two.Accepted)
	is.Equal(s.Revision(), int64(1))
	is.True(s.Tables().ZoneOut("a"))
	is.True(!s.Tables().ZoneOut("b"))
}

// A publisher loses the answer to its append and sends the change again. The
// second record must change nothing, whatever was published in between.
func TestRepeatedChangeHasNoEffect(t *testing.T) {
	is := is.New(t)
	var s State
	s.Apply(0, []byte(firstChange))
	s.Apply(1, []byte("id=\"b\"\nkind=\"patch\"\nbase=0\n[tables.zones.a]\nstate=\"out\"\n"))
	s.Apply(2, []byte("id=\"c\"\nkind=\"patch\"\nbase=1\n[tables.zones.a]\nstate=\"in\"\n"))
	o, ok := s.Apply(3, []byte("id=\"b\"\nkind=\"patch\"\nbase=2\n[tables.zones.a]\nstate=\"out\"\n"))
	is.True(ok)
	is.Equal(o.Revision, int64(1)) // the verdict on the first record
	is.Equal(s.Revision(), int64(2))
	is.True(!s.Tables().ZoneOut("a"))
}
