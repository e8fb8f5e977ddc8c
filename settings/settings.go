// Package settings reads and checks the TOML settings of the daemons and of the
// operators' program.
package settings

import (
	"bytes"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("settings")

// ErrInvalid marks settings that cannot be used.
var ErrInvalid = Errors.NewType("invalid")

// Settings configures one process. Every process has the common part; the entry
// and endpoint parts belong to their daemons. Each field has its row in the
// table of options.
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
	TLS       TLS      `toml:"tls"`
	Session   Session  `toml:"session"`
	Entry     Entry    `toml:"entry"`
	Endpoint  Endpoint `toml:"endpoint"`
	Direct    Direct   `toml:"direct"`
	// Decisions says how decisions are made that have several ways.
	Decisions Decisions `toml:"decisions"`
	// VMListInterval is the span between two readings of the VM list.
	VMListInterval clock.Millis `toml:"vm-list-every"`
}

// Log configures the process's own log lines.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// TLS configures certificates by interface. An interface without a certificate
// speaks plain TCP.
type TLS struct {
	// ReloadInterval is the span between two looks at the files.
	ReloadInterval clock.Millis `toml:"reload-every"`
	Callers        Certificate  `toml:"callers"`
	Operators      Certificate  `toml:"operators"`
	Peers          Certificate  `toml:"peers"`
}

// Certificate names the PEM files of one interface.
type Certificate struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authorities verify the other side. Set, the other side must show a
	// certificate.
	Authorities string `toml:"authorities"`
}

// Session configures the signing of session tokens.
type Session struct {
	// Keys are secrets by key name; the first in order of Current signs.
	Keys    map[string]string `toml:"keys"`
	Current string            `toml:"current"`
	// Lifetime is how long a session lasts that nobody uses.
	Lifetime clock.Millis `toml:"lifetime"`
}

// Entry configures an entry.
type Entry struct {
	// Callers is the IP number and port of the callers' interface.
	Callers string `toml:"callers"`
	// MaxBody bounds a chat request's body, in bytes.
	MaxBody int64 `toml:"max-body"`
	// MaxHeaders bounds a request's headers, in bytes.
	MaxHeaders int `toml:"max-headers"`
	// MaxConnections bounds the callers' open connections.
	MaxConnections int `toml:"max-connections"`
	// HeaderTimeout bounds the arrival of a request's headers.
	HeaderTimeout clock.Millis `toml:"header-timeout"`
	// BodyTimeout bounds the pause in which a request's body does not grow.
	BodyTimeout clock.Millis `toml:"body-timeout"`
	// WriteTimeout bounds the pause in which a caller takes nothing of its
	// answer.
	WriteTimeout clock.Millis `toml:"write-timeout"`
	// IdleTimeout bounds an open connection without a request.
	IdleTimeout clock.Millis `toml:"idle-timeout"`
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
	// StopLimit bounds how long a stopping endpoint lets its answers go on.
	StopLimit clock.Millis `toml:"stop-limit"`
}

// Direct configures an entry that sends straight to endpoints, on a site whose
// platform has a store. Bounds are those that the site agreed on.
type Direct struct {
	// Store is the IP number and port of the platform's store.
	Store string `toml:"store"`
	// Ready is where the platform's balancer asks for readiness.
	Ready string `toml:"ready"`
	// Memory bounds the process's memory, in megabytes; 0 for no bound.
	Memory int `toml:"memory"`
	// Grace is how long a process has between the signal to stop and its end.
	Grace clock.Millis `toml:"grace"`
	// StrictKeys has keyed requests refused while it cannot be known whether the
	// key still holds; KeyLease is how long a confirmation lasts.
	StrictKeys bool         `toml:"strict-keys"`
	KeyLease   clock.Millis `toml:"key-lease"`
	// RetryRatio and RetrySlack bound the attempts beyond the first in each
	// RetrySpan.
	RetryRatio  float64      `toml:"retry-ratio"`
	RetrySlack  float64      `toml:"retry-slack"`
	RetryWindow clock.Millis `toml:"retry-span"`
	// Exposure is the part of a service's requests that an unproven version may
	// get.
	Exposure float64 `toml:"exposure"`
	// ColdOverage and ColdSlack widen what an endpoint in cold start may get.
	ColdOverage float64 `toml:"cold-overage"`
	ColdSlack   float64 `toml:"cold-slack"`
	// SessionIdleTimeout is how long a session lasts that nobody uses.
	SessionIdleTimeout clock.Millis `toml:"session-life"`
}

// Decisions chooses between ways of decisions. Ways is empty unless Trial is set, so that
// a name left over from a trial is refused.
type Decisions struct {
	Trial      bool              `toml:"trial"`
	Strategies map[string]string `toml:"ways"`
}

// Default returns the settings before a file is read.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info", Format: "text"},
		TLS: TLS{ReloadInterval: 10 * clock.Second},
		Entry: Entry{
			MaxBody: 4 << 20, MaxHeaders: 64 << 10, MaxConnections: 20000,
			HeaderTimeout: 10 * clock.Second, BodyTimeout: 30 * clock.Second, WriteTimeout: 30 * clock.Second, IdleTimeout: 2 * clock.Minute,
			LeaveDelay: 2 * clock.Second,
		},
		Endpoint:       Endpoint{StopLimit: 10 * clock.Minute},
		Session:        Session{Lifetime: 24 * clock.Hour},
		VMListInterval: clock.Second,
		Direct: Direct{
			Grace: 8 * clock.Second, StrictKeys: true, KeyLease: 5 * clock.Second, RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * clock.Second,
			Exposure: 0.1, ColdOverage: 1, SessionIdleTimeout: 5 * clock.Second,
		},
	}
}

// Read reads and checks a file of settings over the defaults, for whichever
// program the file is written for.
func Read(path string) (s Settings, err error) { return ReadFor(path, AnyProgram) }

// ReadFor reads and checks a file of settings for one program. ErrInvalid lists
// every fault with its line.
func ReadFor(path string, p Program) (s Settings, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return s, ErrInvalid.Wrap(err, "read settings")
	}
	s, faults := Check(data, p)
	if len(faults) == 0 {
		return s, nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = path + f.String()
	}
	return s, ErrInvalid.New("%s", strings.Join(lines, "\n"))
}

// Parse reads settings over the defaults; unknown keys are errors.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err = dec.Decode(&s)
	return s, err
}

// MessageOf leaves out the name of the error's type where the message lists
// faults by file and line.
func MessageOf(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil && errorx.IsOfType(err, ErrInvalid) {
		return e.Message()
	}
	return err.Error()
}
