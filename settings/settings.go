// Package settings reads and checks the TOML settings of the daemons.
package settings

import (
	"bytes"
	"os"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("settings")

// ErrInvalid marks settings that cannot be used.
var ErrInvalid = Errors.NewType("invalid")

// Settings configures one process. Every process has the common part; the entry
// and endpoint parts belong to their daemons.
type Settings struct {
	VM     string `toml:"vm"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Peer is the IP number and port of the peer interface.
	Peer string `toml:"peer"`
	// Operators is the IP number and port of the operators' interface.
	Operators string   `toml:"operators"`
	Platform  string   `toml:"platform"`
	Log       Log      `toml:"log"`
	Session   Session  `toml:"session"`
	Entry     Entry    `toml:"entry"`
	Endpoint  Endpoint `toml:"endpoint"`
	// VMListEvery is the span between two readings of the VM list.
	VMListEvery clock.Millis `toml:"vm-list-every"`
}

// Log configures the process's own log lines.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Session configures the signing of session tokens.
type Session struct {
	// Keys are secrets by key name; the first in order of Current signs.
	Keys    map[string]string `toml:"keys"`
	Current string            `toml:"current"`
}

// Entry configures an entry.
type Entry struct {
	// Callers is the IP number and port of the callers' interface.
	Callers string `toml:"callers"`
	// MaxBody bounds a chat request's body, in bytes.
	MaxBody int64 `toml:"max-body"`
	// LeaveDelay is how long the entry is not ready but still serves before it
	// drains, so that the balancer stops sending first.
	LeaveDelay clock.Millis `toml:"leave-delay"`
}

// Endpoint configures an endpoint.
type Endpoint struct {
	Pool string `toml:"pool"`
	// Engine is the URL of the engine or plain service on this VM.
	Engine string `toml:"engine"`
	Plain  bool   `toml:"plain"`
}

// Default returns the settings before a file is read.
func Default() Settings {
	return Settings{
		Log:         Log{Level: "info", Format: "text"},
		Entry:       Entry{MaxBody: 4 << 20},
		VMListEvery: clock.Second,
	}
}

// Read reads a file of settings over the defaults.
func Read(path string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = ErrInvalid.Wrap(err, "read %s", path)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(data)
}

// Parse reads settings over the defaults; unknown keys are errors.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err = dec.Decode(&s)
	return s, err
}
