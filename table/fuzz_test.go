package table

import (
	"bytes"
	"testing"
)

// FuzzApply reduces arbitrary records between valid ones. Nothing may panic, the revision must not go
// back, and two states that reduce the same records must be equal, also if one of them is restored from
// the other's checkpoint.
func FuzzApply(f *testing.F) {
	for _, seed := range []string{
		firstChange,
		"id=\"b\"\nkind=\"patch\"\nbase=0\nremove=[\"organisations.desk\"]\n",
		"id=\"b\"\nkind=\"patch\"\nbase=0\n[tables.zones.\"a.b\"]\nstate=\"out\"\n",
		"kind=\"checkpoint\"\n[saved]\noffset=1\nrevision=0\n",
		"kind=\"checkpoint\"\n[tables.zones.a]\nstate=\"in\"\n[saved]\noffset=1\nrevision=0\n[[saved.outcomes]]\nid=\"a\"\nrevision=0\n",
		"id=\"c\"\nkind=\"whole\"\nbase=0\n[tables.versions.\"m@1\"]\nquality=nan\n",
		"id=\"c\"\nkind=\"whole\"\nbase=0\n[tables.routes.r]\nmodels=[{model=\"m\",shares={1=inf}}]\n",
		"", "\x00", "id=", "[[[[",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var one, two State
		for o, record := range [][]byte{[]byte(firstChange), data, data, []byte("id=\"z\"\nkind=\"patch\"\nbase=0\n[tables.zones.z]\nstate=\"in\"\n")} {
			before := one.Revision()
			one.Apply(int64(o), record)
			two.Apply(int64(o), record)
			if one.Revision() < before {
				t.Fatalf("never-reverts: from %d to %d", before, one.Revision())
			}
		}
		requireSameState(t, &one, &two)
		saved, _ := one.Checkpoint()
		text, err := saved.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseCheckpoint(text)
		if err != nil {
			t.Fatalf("checkpoint cannot be decoded: %v\n%s", err, text)
		}
		var three State
		three.Import(got)
		requireSameState(t, &one, &three)
	})
}

func requireSameState(t *testing.T, a, b *State) {
	t.Helper()
	x, okX := a.Checkpoint()
	y, okY := b.Checkpoint()
	if okX != okY {
		t.Fatal("all-agree: one state has tables, the other none")
	}
	if !okX {
		return
	}
	m, errM := x.Encode()
	n, errN := y.Encode()
	if errM != nil || errN != nil || !bytes.Equal(m, n) {
		t.Fatalf("all-agree: %v %v\n%s\n---\n%s", errM, errN, m, n)
	}
}
