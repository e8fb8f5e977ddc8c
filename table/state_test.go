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

// Guards against lost updates: two operators publish changes based on the same revision and both appends
// succeed. Only the first in log order may be accepted, or the second would silently undo it.
func TestOnlyFirstOfConcurrentChangesIsAccepted(t *testing.T) {
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

// Guards against applying a change twice: a publisher loses the reply to its append and sends the change
// again. The second record must have no effect, whatever was published in between.
func TestRepeatedChangeHasNoEffect(t *testing.T) {
	is := is.New(t)
	var s State
	s.Apply(0, []byte(firstChange))
	s.Apply(1, []byte("id=\"b\"\nkind=\"patch\"\nbase=0\n[tables.zones.a]\nstate=\"out\"\n"))
	s.Apply(2, []byte("id=\"c\"\nkind=\"patch\"\nbase=1\n[tables.zones.a]\nstate=\"in\"\n"))
	o, ok := s.Apply(3, []byte("id=\"b\"\nkind=\"patch\"\nbase=2\n[tables.zones.a]\nstate=\"out\"\n"))
	is.True(ok)
	is.Equal(o.Revision, int64(1)) // the outcome of the first record
	is.Equal(s.Revision(), int64(2))
	is.True(!s.Tables().ZoneOut("a"))
}

// Guards against NaN and infinity, which TOML allows: comparisons with NaN are false, so a quality of NaN
// would pass each check and then no version could be chosen.
func TestNaNAndInfinityAreRejected(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{
		"[tables.versions.\"m@1\"]\nquality=nan\n",
		"[tables.versions.\"m@1\"]\nquality=inf\n",
		"[tables.versions.\"m@1\"]\nquality=0.5\n[tables.pools.p]\nversions=[\"m@1\"]\ncold-window=1\nfull-window=1\n[tables.routes.r]\nmodels=[{model=\"m\",shares={1=nan}}]\n",
		"[tables.versions.\"m@1\"]\nquality=0.5\n[tables.pools.p]\nversions=[\"m@1\"]\ncold-window=1\nfull-window=1\n[tables.routes.r]\nquality-target=nan\nmodels=[{model=\"m\",shares={1=1.0}}]\n",
	} {
		var s State
		o, ok := s.Apply(0, []byte("id=\"a\"\nkind=\"whole\"\nbase=-1\n"+body))
		is.True(ok)
		is.True(!o.Accepted)
	}
}

// Guards against changes that are applied in part: an operator misspells an entry to remove, or sets an
// entry that the same change removes. The complete change must be rejected.
func TestRemovalsMustNameAnEntry(t *testing.T) {
	is := is.New(t)
	for remove, accepted := range map[string]bool{
		"zones.a.b": true, "zones.a": false, "zone.a.b": false, "zones": false, "organisations.desk": true, "": false,
	} {
		var s State
		s.Apply(0, []byte(firstChange+"[tables.zones.\"a.b\"]\nstate=\"in\"\n"))
		o, _ := s.Apply(1, []byte("id=\"b\"\nkind=\"patch\"\nbase=0\nremove=[\""+remove+"\"]\n"))
		is.Equal(o.Accepted, accepted)
		o, _ = s.Apply(2, []byte("id=\"c\"\nkind=\"patch\"\nbase=0\nremove=[\"zones.a.b\"]\n[tables.zones.\"a.b\"]\nstate=\"out\"\n"))
		is.True(!o.Accepted)
	}
}
