// Package settings reads and validates the TOML settings of the daemons and of the operators'
// program.
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

// ErrInvalid is returned for a settings file that cannot be read or has faults.
var ErrInvalid = Errors.NewType("invalid")

// Settings configures one process. The top-level fields apply to every process, the Entry, Endpoint
// and Direct sections to their daemons only. Each field has a row in Options.
type Settings struct {
	VM     string `toml:"vm"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Peer is the IP address and port of the peer interface.
	Peer string `toml:"peer"`
	// Operators is the IP address and port of the operators' interface.
	Operators string   `toml:"operators"`
	Platform  string   `toml:"platform"`
	Log       Log      `toml:"log"`
	TLS       TLS      `toml:"tls"`
	Session   Session  `toml:"session"`
	Entry     Entry    `toml:"entry"`
	Endpoint  Endpoint `toml:"endpoint"`
	Direct    Direct   `toml:"direct"`
	// Decisions selects strategies for the decisions that have more than one.
	Decisions Decisions `toml:"decisions"`
	// VMListInterval is the time between two reads of the VM list.
	VMListInterval clock.Millis `toml:"vm-list-every"`
}

// Log configures the log lines of the process.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// TLS configures the certificate of each interface. An interface without a certificate uses plain
// TCP.
type TLS struct {
	// ReloadInterval is the time between two checks of the files for changes.
	ReloadInterval clock.Millis `toml:"reload-every"`
	Callers        Certificate  `toml:"callers"`
	Operators      Certificate  `toml:"operators"`
	Peers          Certificate  `toml:"peers"`
}

// Certificate names the PEM files of one interface.
type Certificate struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authorities verify the peer's certificate. If it is set, the peer must present one.
	Authorities string `toml:"authorities"`
}

// Session configures the signing of session tokens.
type Session struct {
	// Keys holds the secrets by key name. The one named by Current signs new tokens; tokens signed
	// with any of them are valid.
	Keys    map[string]string `toml:"keys"`
	Current string            `toml:"current"`
	// Lifetime is how long an unused session lasts.
	Lifetime clock.Millis `toml:"lifetime"`
}

// Entry configures an entry.
type Entry struct {
	// Callers is the IP address and port of the callers' interface.
	Callers string `toml:"callers"`
	// MaxBody limits the body of a chat request, in bytes.
	MaxBody int64 `toml:"max-body"`
	// MaxHeaders limits the headers of a request, in bytes.
	MaxHeaders int `toml:"max-headers"`
	// MaxConnections limits the open connections of callers.
	MaxConnections int `toml:"max-connections"`
	// HeaderTimeout is the longest time until all headers of a request have arrived.
	HeaderTimeout clock.Millis `toml:"header-timeout"`
	// BodyTimeout is how long an entry waits for the complete body of a chat request, or for
	// further bytes of the body of a service request.
	BodyTimeout clock.Millis `toml:"body-timeout"`
	// WriteTimeout is how long an entry waits for a caller that stops reading its answer.
	WriteTimeout clock.Millis `toml:"write-timeout"`
	// IdleTimeout is the longest time that a connection without a request stays open.
	IdleTimeout clock.Millis `toml:"idle-timeout"`
	// LeaveDelay is how long a stopping entry reports not ready but still serves before it drains,
	// so that the load balancer stops sending requests first.
	LeaveDelay clock.Millis `toml:"leave-delay"`
}

// Endpoint configures an endpoint.
type Endpoint struct {
	Pool string `toml:"pool"`
	// Engine is the URL of the engine or plain service on this VM.
	Engine string `toml:"engine"`
	Plain  bool   `toml:"plain"`
	// StopLimit is how long a stopping endpoint lets running answers continue.
	StopLimit clock.Millis `toml:"stop-limit"`
}

// Direct configures an entry that sends requests directly to endpoints, on a site whose platform has
// a store. The limits are those agreed with the site.
type Direct struct {
	// Store is the IP address and port of the platform's store.
	Store string `toml:"store"`
	// Ready is the IP address and port of the readiness check for the platform's load balancer.
	Ready string `toml:"ready"`
	// Neighbours are IP addresses and ports of some other entries, of which only the IP addresses
	// matter. An entry that starts asks them for the state of the site.
	Neighbours []string `toml:"neighbours"`
	// Memory limits the memory of the process, in megabytes; 0 means no limit.
	Memory int `toml:"memory"`
	// Grace is the time between the signal to stop and the end of the process.
	Grace clock.Millis `toml:"grace"`
	// StrictKeys refuses requests with a caller's key while it cannot be confirmed that the key is
	// still valid. KeyLease is how long a confirmation lasts.
	StrictKeys bool         `toml:"strict-keys"`
	KeyLease   clock.Millis `toml:"key-lease"`
	// RetryRatio and RetrySlack limit the attempts beyond the first that a service gets in each
	// RetryWindow to RetryRatio times its requests plus RetrySlack.
	RetryRatio  float64      `toml:"retry-ratio"`
	RetrySlack  float64      `toml:"retry-slack"`
	RetryWindow clock.Millis `toml:"retry-span"`
	// Exposure is the largest fraction of a service's requests that an unproven version may get.
	Exposure float64 `toml:"exposure"`
	// ColdOverage and ColdSlack limit the requests to an endpoint in cold start: ColdOverage
	// multiplies the rate that it accepts, ColdSlack adds requests per second.
	ColdOverage float64 `toml:"cold-overage"`
	ColdSlack   float64 `toml:"cold-slack"`
	// SessionIdleTimeout is how long an unused session lasts.
	SessionIdleTimeout clock.Millis `toml:"session-life"`
}

// Decisions selects strategies for decisions. Strategies must be empty unless Trial is set, so that a
// strategy left over from a trial is rejected.
type Decisions struct {
	Trial      bool              `toml:"trial"`
	Strategies map[string]string `toml:"ways"`
}

// Default returns the settings that apply where a file sets nothing.
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

// Read reads and checks a settings file over the defaults. The sections of the file determine which
// program it is checked for.
func Read(path string) (s Settings, err error) { return ReadFor(path, AnyProgram) }

// ReadFor reads and checks a settings file for one program. The message of ErrInvalid lists every
// fault with its line.
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

// Parse decodes settings over the defaults and does not check values. Unknown keys are errors.
func Parse(data []byte) (s Settings, err error) {
	s = Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err = dec.Decode(&s)
	return s, err
}

// MessageOf returns the message of an error for operators. It omits the error type if the message
// lists faults by file and line.
func MessageOf(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil && errorx.IsOfType(err, ErrInvalid) {
		return e.Message()
	}
	return err.Error()
}
