package session

import (
	"encoding/base64"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	oldSecret = "an old secret of thirty-two bytes"
	newSecret = "a new secret of thirty-two bytes."
	start     = int64(1_800_000_000)
)

func keysAt(now *int64, current string, secrets map[string]string) *Keys {
	return NewKeys(secrets, current).WithWallClock(func() int64 { return *now })
}

var token = Token{ID: "s", Organisation: "desk", Route: "dossier", Version: "large@2", SessionVM: "endpoint-1"}

// Operators rotate the key during sessions: entries that have the new secret must accept tokens
// signed with the old one until it is removed.
func TestRotationKeepsSessions(t *testing.T) {
	is := is.New(t)
	now := start
	before := keysAt(&now, "2026.1", map[string]string{"2026.1": oldSecret})
	during := keysAt(&now, "2026.2", map[string]string{"2026.1": oldSecret, "2026.2": newSecret})
	after := keysAt(&now, "2026.2", map[string]string{"2026.2": newSecret})
	text, err := before.Sign(token)
	is.NoErr(err)
	got, err := during.Verify(text)
	is.NoErr(err)
	is.Equal(got.Version, "large@2")
	again, err := during.Sign(got)
	is.NoErr(err)
	_, err = after.Verify(again)
	is.NoErr(err)
	_, err = after.Verify(text)
	is.True(err != nil) // the old secret has been removed
}

// The wall clocks of two entries differ by minutes: neither may reject a session that the other has
// just signed. A session in use must not expire; an unused one must.
func TestExpiryToleratesClockSkew(t *testing.T) {
	is := is.New(t)
	now := start
	k := keysAt(&now, "a", map[string]string{"a": oldSecret})
	text, err := k.Sign(token)
	is.NoErr(err)
	for _, c := range []struct {
		at int64
		ok bool
	}{
		{start - 601, false}, {start - 599, true}, {start + 86400, true}, {start + 86400 + 599, true}, {start + 86400 + 601, false},
	} {
		now = c.at
		_, err = k.Verify(text)
		is.Equal(err == nil, c.ok)
	}
}

// A caller modifies a token to reach another version or another caller's session. A change of
// any byte must be rejected, as must a token signed with another secret.
func TestForgedTokensAreRefused(t *testing.T) {
	now := start
	k := keysAt(&now, "a", map[string]string{"a": oldSecret})
	other := keysAt(&now, "a", map[string]string{"a": newSecret})
	text, err := k.Sign(token)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		forged := []byte(text)
		i := rapid.IntRange(0, len(forged)-1).Draw(t, "byte")
		forged[i] = rapid.Byte().Draw(t, "value")
		if got, err := k.Verify(string(forged)); err == nil && string(forged) != text {
			t.Fatalf("session-keeps-its-version: forged token was read as %+v", got)
		}
		if _, err := other.Verify(text); err == nil {
			t.Fatal("session-keeps-its-version: foreign token was read")
		}
	})
}

// FuzzVerify checks that hostile text causes no crash and that nothing unsigned is accepted.
func FuzzVerify(f *testing.F) {
	now := start
	k := keysAt(&now, "a.b", map[string]string{"a.b": oldSecret, "": newSecret})
	text, err := k.Sign(token)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{text, "", "..", "a.b..", "a.b." + base64.RawURLEncoding.EncodeToString([]byte("{}")) + ".x", strings.Repeat(".", 5000), "\x00.\xff.\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if got, err := k.Verify(s); err == nil && s != text {
			t.Fatalf("%q was read as %+v", s, got)
		}
	})
}
