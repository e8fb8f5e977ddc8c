// Package session signs the tokens by which a session keeps its version.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("session")

// ErrRejected marks a token that this system did not sign for this caller.
var ErrRejected = Errors.NewType("rejected")

// Token is what a session remembers.
type Token struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Versions maps a model to the version number the session keeps.
	Version string `json:"version"`
	// Home is the VM that holds the session's cache.
	Home string `json:"home"`
}

// Keys signs and verifies tokens.
type Keys struct {
	secrets map[string][]byte
	current string
}

// NewKeys makes keys from secrets by name; current names the one that signs.
func NewKeys(secrets map[string]string, current string) *Keys {
	k := &Keys{secrets: make(map[string][]byte), current: current}
	for name, s := range secrets {
		k.secrets[name] = []byte(s)
	}
	return k
}

// Sign writes a token as "key.payload.signature".
func (k *Keys) Sign(t Token) (text string, err error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", ErrRejected.Wrap(err, "encode token")
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return k.current + "." + payload + "." + k.mac(k.current, payload), nil
}

// Verify reads a token that one of the keys signed.
func (k *Keys) Verify(text string) (t Token, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return t, ErrRejected.New("token is malformed")
	}
	if _, ok := k.secrets[parts[0]]; !ok {
		return t, ErrRejected.New("token's key is unknown")
	}
	if !hmac.Equal([]byte(parts[2]), []byte(k.mac(parts[0], parts[1]))) {
		return t, ErrRejected.New("token's signature is wrong")
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return t, ErrRejected.Wrap(err, "decode token")
	}
	if err = json.Unmarshal(data, &t); err != nil {
		return t, ErrRejected.Wrap(err, "decode token")
	}
	return t, nil
}

func (k *Keys) mac(name, payload string) string {
	m := hmac.New(sha256.New, k.secrets[name])
	m.Write([]byte(name + "." + payload))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}
