// Package session signs the tokens that pin a session to a model version. The caller carries the
// token, so no process keeps a session table that it could lose.
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

// ErrRejected marks a token that is malformed, was not signed with one of the keys, has expired,
// or was issued in the future.
var ErrRejected = Errors.NewType("rejected")

const (
	// MaxTokenBytes bounds a token; longer text is rejected without being parsed.
	MaxTokenBytes = 4096
	// ClockTolerance is how far the wall clocks of two entries may differ. Up to that difference
	// no entry wrongly accepts or rejects a token, except in the last minutes of the token's
	// lifetime.
	ClockTolerance = 10 * clock.Minute
	// DefaultLifetime is how long an unused session lasts.
	DefaultLifetime = 24 * clock.Hour
	// purpose is part of the signed text, so that no other signature made with the same secret
	// is valid for a token.
	purpose = "parsleydeal session 1"
)

// Token is the state of a session.
type Token struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Version is the model version that the session is pinned to.
	Version string `json:"version"`
	// SessionVM is the VM that holds the session's cache.
	SessionVM string `json:"home"`
	// Issued is when the token was signed, in seconds of the signer's wall clock since 1970.
	// Each answer carries a newly signed token.
	Issued int64 `json:"issued"`
}

// Keys signs and verifies tokens. All entries have the same secrets. To rotate secrets, give the
// new one to all entries before it becomes current, and remove the old one after one token
// lifetime.
type Keys struct {
	secrets  map[string][]byte
	current  string
	lifetime clock.Millis
	// wallClock returns the wall clock time in seconds since 1970. Times of two VMs are
	// comparable only up to ClockTolerance.
	wallClock func() int64
}

// NewKeys returns keys with the given secrets by key name; current names the key that signs.
func NewKeys(secrets map[string]string, current string) *Keys {
	k := &Keys{
		secrets: make(map[string][]byte), current: current, lifetime: DefaultLifetime,
		wallClock: func() int64 { return time.Now().Unix() },
	}
	for name, s := range secrets {
		k.secrets[name] = []byte(s)
	}
	return k
}

// WithLifetime sets the lifetime of unused sessions and returns k; d <= 0 leaves it unchanged.
func (k *Keys) WithLifetime(d clock.Millis) *Keys {
	if d > 0 {
		k.lifetime = d
	}
	return k
}

// WithWallClock sets the wall clock, which returns seconds since 1970, and returns k.
func (k *Keys) WithWallClock(wallClock func() int64) *Keys {
	k.wallClock = wallClock
	return k
}

// Sign encodes a token as "key.payload.signature", issued now.
func (k *Keys) Sign(t Token) (text string, err error) {
	t.Issued = k.wallClock()
	data, err := json.Marshal(t)
	if err != nil {
		return "", ErrRejected.Wrap(err, "encode token")
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return k.current + "." + payload + "." + k.mac(k.current, payload), nil
}

// Verify decodes a token that was signed with one of the keys within the lifetime. Every error
// is an ErrRejected.
func (k *Keys) Verify(text string) (t Token, err error) {
	payload, err := k.verifySignature(text)
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
	if err = k.checkAge(t.Issued); err != nil {
		return Token{}, err
	}
	return t, nil
}

// verifySignature returns the payload of a correctly signed token. The payload is not decoded
// before the signature is verified.
func (k *Keys) verifySignature(text string) (payload string, err error) {
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

// checkAge rejects a token that is too old. It also rejects one issued further in the future
// than clocks may differ, as it would be valid for longer than the lifetime.
func (k *Keys) checkAge(issued int64) error {
	const perSecond = int64(clock.Second)
	now := k.wallClock()
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
