// Package session signs the tokens by which a session keeps its version. The
// caller carries the token, so no process has a table of sessions to lose.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("session")

// ErrRejected marks a token that this system did not sign for this caller, or
// too long ago.
var ErrRejected = Errors.NewType("rejected")

const (
	// MaxTokenBytes bounds a token; longer text is rejected unread.
	MaxTokenBytes = 4096
	// ClockTolerance is how far the wall clocks of two entries may differ. Within it
	// neither accepts or rejects a token wrongly, but for the token's last
	// minutes.
	ClockTolerance = 10 * clock.Minute
	// DefaultLifetime is how long a session lasts that nobody uses.
	DefaultLifetime = 24 * clock.Hour
	// purpose is signed along, so that no other signature under the same secret
	// passes for a token's.
	purpose = "parsleydeal session 1"
)

// Token is what a session remembers.
type Token struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Version is the version that the session keeps.
	Version string `json:"version"`
	// SessionVM is the VM that holds the session's cache.
	SessionVM string `json:"home"`
	// Issued is when the token was signed, in seconds of the signer's wall
	// clock since 1970. Each answer carries a token signed anew.
	Issued int64 `json:"issued"`
}

// Keys signs and verifies tokens. All entries have the same secrets; a new one
// is given to all before it becomes current, and an old one is taken away after
// a lifetime.
type Keys struct {
	secrets  map[string][]byte
	current  string
	lifetime clock.Millis
	// wall reads the wall clock, in seconds since 1970. Instants of two VMs are
	// compared by it only up to Tolerance.
	wall func() int64
}

// NewKeys makes keys from secrets by name; current names the one that signs.
func NewKeys(secrets map[string]string, current string) *Keys {
	k := &Keys{
		secrets: make(map[string][]byte), current: current, lifetime: DefaultLifetime,
		wall: func() int64 { return time.Now().Unix() },
	}
	for name, s := range secrets {
		k.secrets[name] = []byte(s)
	}
	return k
}

// WithLifetime returns the keys with another lifetime of unused sessions; 0
// leaves it.
func (k *Keys) WithLifetime(d clock.Millis) *Keys {
	if d > 0 {
		k.lifetime = d
	}
	return k
}

// WithWallClock returns the keys with another wall clock, in seconds since 1970.
func (k *Keys) WithWallClock(wall func() int64) *Keys {
	k.wall = wall
	return k
}

// Sign writes a token as "key.payload.signature", issued now.
func (k *Keys) Sign(t Token) (text string, err error) {
	t.Issued = k.wall()
	data, err := json.Marshal(t)
	if err != nil {
		return "", ErrRejected.Wrap(err, "encode token")
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return k.current + "." + payload + "." + k.mac(k.current, payload), nil
}

// Verify reads a token that one of the keys signed within a lifetime.
func (k *Keys) Verify(text string) (t Token, err error) {
	payload, err := k.signed(text)
	if err != nil {
		return t, err
	}
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return t, ErrRejected.Wrap(err, "decode token")
	}
	if err = json.Unmarshal(data, &t); err != nil {
		return t, ErrRejected.Wrap(err, "decode token")
	}
	if err = k.fresh(t.Issued); err != nil {
		return Token{}, err
	}
	return t, nil
}

// signed returns the payload of a token whose signature is right. Nothing in
// the token is read before that.
func (k *Keys) signed(text string) (payload string, err error) {
	if len(text) > MaxTokenBytes {
		return "", ErrRejected.New("token has %d bytes, at most %d are allowed", len(text), MaxTokenBytes)
	}
	rest, signature, ok := cutLast(text)
	if !ok {
		return "", ErrRejected.New("token is malformed")
	}
	name, payload, ok := cutLast(rest)
	if !ok {
		return "", ErrRejected.New("token is malformed")
	}
	if _, ok = k.secrets[name]; !ok {
		return "", ErrRejected.New("token's key is unknown")
	}
	if !hmac.Equal([]byte(signature), []byte(k.mac(name, payload))) {
		return "", ErrRejected.New("token's signature is wrong")
	}
	return payload, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// fresh rejects a token that is too old. One from the future beyond what clocks
// may differ is rejected too: it would outlive every lifetime.
func (k *Keys) fresh(issued int64) error {
	const perSecond = int64(clock.Second)
	now := k.wall()
	if now-issued > int64(k.lifetime+ClockTolerance)/perSecond {
		return ErrRejected.New("session has expired")
	}
	if issued-now > int64(ClockTolerance)/perSecond {
		return ErrRejected.New("token is from the future")
	}
	return nil
}

func (k *Keys) mac(name, payload string) string {
	m := hmac.New(sha256.New, k.secrets[name])
	m.Write([]byte(purpose + "\x00" + name + "." + payload))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}
