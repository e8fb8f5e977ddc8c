package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// Program is a program that reads settings.
type Program int

// The programs. AnyProgram selects the program from the sections of the file.
const (
	AnyProgram Program = iota
	EntryProgram
	EndpointProgram
	OperatorProgram
	// DirectProgram is an entry that sends requests directly to endpoints.
	DirectProgram
)

// Option describes one setting.
type Option struct {
	// Key is the dotted key. A last element "*" stands for names chosen by operators.
	Key string
	// Allowed describes the valid values, for faults and for OPERATORS.md.
	Allowed string
	// Doc describes the option in OPERATORS.md.
	Doc string
	// requiredBy lists the programs that cannot run without the option.
	requiredBy []Program
	// valid reports whether the value is valid; nil allows every value of the right type.
	valid func(s *Settings) bool
}

const (
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 256 << 20
	minHeaderBytes  = 4 << 10
	maxHeaderBytes  = 1 << 20
	minSecretBytes  = 32
	maxTimeout      = clock.Hour
	durationAllowed = "a span such as \"250ms\" or \"6s\""
)

var (
	daemons      = []Program{EntryProgram, EndpointProgram}
	everyProgram = []Program{EntryProgram, EndpointProgram, OperatorProgram}
	allDaemons   = []Program{EntryProgram, EndpointProgram, DirectProgram}
	entryOnly    = []Program{EntryProgram}
	bothEntries  = []Program{EntryProgram, DirectProgram}
	directOnly   = []Program{DirectProgram}
	endpointOnly = []Program{EndpointProgram}
)

// Options lists all options in the order of OPERATORS.md.
var Options = slices.Concat(commonOptions, tlsOptions, entryOptions, endpointOptions, directOptions, decisionOptions)

var commonOptions = []Option{
	{Key: "vm", Allowed: "a name", Doc: "name of this VM, as in the platform's VM list", requiredBy: allDaemons},
	{Key: "zone", Allowed: "a name", Doc: "availability zone of this VM", requiredBy: allDaemons},
	{Key: "region", Allowed: "a name", Doc: "region of this VM", requiredBy: allDaemons},
	{
		Key: "peer", Allowed: "an IP number and port", Doc: "address of the interface for the system's own processes", requiredBy: allDaemons,
		valid: func(s *Settings) bool { return isAddress(s.Peer) },
	},
	{
		Key: "operators", Allowed: "an IP number and port that no other interface has", Doc: "address of the operators' interface; without it there is none",
		valid: func(s *Settings) bool {
			return isAddress(s.Operators) && s.Operators != s.Peer && s.Operators != s.Entry.Callers
		},
	},
	{
		Key: "platform", Allowed: "an http or https URL", Doc: "base URL of the platform's services", requiredBy: everyProgram,
		valid: func(s *Settings) bool { return isURL(s.Platform) },
	},
	{
		Key: "vm-list-every", Allowed: "50ms to 1m", Doc: "span between two readings of the VM list",
		valid: func(s *Settings) bool { return inRange(s.VMListInterval, 50, clock.Minute) },
	},
	{
		Key: "log.level", Allowed: "\"debug\", \"info\", \"warn\" or \"error\"", Doc: "lowest level that is logged",
		valid: func(s *Settings) bool { return isOneOf(s.Log.Level, "debug", "info", "warn", "error") },
	},
	{
		Key: "log.format", Allowed: "\"text\" or \"json\"", Doc: "form of the log lines on standard error",
		valid: func(s *Settings) bool { return isOneOf(s.Log.Format, "text", "json") },
	},
	{
		Key: "session.keys.*", Allowed: fmt.Sprintf("a secret of at least %d bytes", minSecretBytes), Doc: "secrets that sign session tokens, by key name; the same in all entries", requiredBy: entryOnly,
		valid: func(s *Settings) bool {
			for _, secret := range s.Session.Keys {
				if len(secret) < minSecretBytes {
					return false
				}
			}
			return len(s.Session.Keys) > 0
		},
	},
	{
		Key: "session.current", Allowed: "the name of one of session.keys", Doc: "key that signs new tokens; the others still verify", requiredBy: entryOnly,
		valid: func(s *Settings) bool { return s.Session.Keys[s.Session.Current] != "" },
	},
	{
		Key: "session.lifetime", Allowed: "1m to 9000h", Doc: "how long a session lasts that nobody uses; wall clocks of entries may differ by 10 minutes",
		valid: func(s *Settings) bool { return inRange(s.Session.Lifetime, clock.Minute, 9000*clock.Hour) },
	},
}

var tlsOptions = slices.Concat(
	[]Option{{
		Key: "tls.reload-every", Allowed: "100ms to 1h", Doc: "span between two looks at the certificate files",
		valid: func(s *Settings) bool { return inRange(s.TLS.ReloadInterval, 100, clock.Hour) },
	}},
	certificateOptions("callers", "the callers' interface", func(s *Settings) Certificate { return s.TLS.Callers }, false),
	certificateOptions("operators", "the operators' interface", func(s *Settings) Certificate { return s.TLS.Operators }, false),
	certificateOptions("peers", "the interface for the system's own processes", func(s *Settings) Certificate { return s.TLS.Peers }, true),
)

// certificateOptions returns the options of one interface. Mutual TLS requires authorities in
// addition to a certificate.
func certificateOptions(name, iface string, files func(s *Settings) Certificate, mutual bool) []Option {
	required, verified := "key", "callers of "+iface
	if mutual {
		required, verified = "key and authorities", "both sides of "+iface
	}
	return []Option{
		{
			Key: "tls." + name + ".certificate", Allowed: "a file, beside " + required, Doc: "PEM file of the certificate of " + iface + "; without it there is no TLS",
			valid: func(s *Settings) bool {
				c := files(s)
				return c.Certificate == "" || c.Key != "" && (c.Authorities != "" || !mutual)
			},
		},
		{
			Key: "tls." + name + ".key", Allowed: "a file, beside certificate", Doc: "PEM file of the certificate's private key",
			valid: func(s *Settings) bool { c := files(s); return c.Key == "" || c.Certificate != "" },
		},
		{
			Key: "tls." + name + ".authorities", Allowed: "a file, beside certificate and key", Doc: "PEM file of the authorities of which " + verified + " must have a certificate",
			valid: func(s *Settings) bool { c := files(s); return c.Authorities == "" || c.Certificate != "" },
		},
	}
}

var entryOptions = []Option{
	{
		Key: "entry.callers", Allowed: "an IP number and port that no other interface has", Doc: "address of the callers' interface", requiredBy: bothEntries,
		valid: func(s *Settings) bool { return isAddress(s.Entry.Callers) && s.Entry.Callers != s.Peer },
	},
	{
		Key: "entry.max-body", Allowed: fmt.Sprintf("%d to %d bytes", minBodyBytes, maxBodyBytes), Doc: "largest body of a chat request, in bytes; bodies of plain services stream and have no limit",
		valid: func(s *Settings) bool { return inRange(s.Entry.MaxBody, minBodyBytes, maxBodyBytes) },
	},
	{
		Key: "entry.max-headers", Allowed: fmt.Sprintf("%d to %d bytes", minHeaderBytes, maxHeaderBytes), Doc: "largest headers of a request, in bytes",
		valid: func(s *Settings) bool { return inRange(s.Entry.MaxHeaders, minHeaderBytes, maxHeaderBytes) },
	},
	{
		Key: "entry.max-connections", Allowed: "1 to 1000000", Doc: "most connections callers may hold open; further ones wait in the system's backlog",
		valid: func(s *Settings) bool { return inRange(s.Entry.MaxConnections, 1, 1000000) },
	},
	{
		Key: "entry.header-timeout", Allowed: "100ms to 1h", Doc: "longest time a request's headers may take to arrive",
		valid: func(s *Settings) bool { return inRange(s.Entry.HeaderTimeout, 100, maxTimeout) },
	},
	{
		Key: "entry.body-timeout", Allowed: "100ms to 1h", Doc: "longest pause in which a request's body does not grow",
		valid: func(s *Settings) bool { return inRange(s.Entry.BodyTimeout, 100, maxTimeout) },
	},
	{
		Key: "entry.write-timeout", Allowed: "100ms to 1h", Doc: "longest pause in which a caller takes nothing of its answer",
		valid: func(s *Settings) bool { return inRange(s.Entry.WriteTimeout, 100, maxTimeout) },
	},
	{
		Key: "entry.idle-timeout", Allowed: "100ms to 1h", Doc: "longest life of a connection without a request",
		valid: func(s *Settings) bool { return inRange(s.Entry.IdleTimeout, 100, maxTimeout) },
	},
	{
		Key: "entry.leave-delay", Allowed: "0s to 1m", Doc: "how long a stopping entry is not ready but still serves, so that the balancer stops sending first",
		valid: func(s *Settings) bool { return inRange(s.Entry.LeaveDelay, 0, clock.Minute) },
	},
}

var endpointOptions = []Option{
	{Key: "endpoint.pool", Allowed: "the name of a pool", Doc: "pool that this endpoint belongs to", requiredBy: endpointOnly},
	{
		Key: "endpoint.engine", Allowed: "an http or https URL", Doc: "base URL of the engine or plain service on this VM", requiredBy: endpointOnly,
		valid: func(s *Settings) bool { return isURL(s.Endpoint.Engine) },
	},
	{Key: "endpoint.plain", Allowed: "true or false", Doc: "true before a plain service, false before a model engine"},
	{
		Key: "endpoint.stop-limit", Allowed: "1s to 1h", Doc: "how long a stopping endpoint lets its answers go on before it cuts them off",
		valid: func(s *Settings) bool { return inRange(s.Endpoint.StopLimit, clock.Second, maxTimeout) },
	},
}

var directOptions = []Option{
	{
		Key: "direct.store", Allowed: "an IP number and port", Doc: "address of the platform's store; with it the entry sends straight to endpoints", requiredBy: directOnly,
		valid: func(s *Settings) bool { return s.Direct.Store == "" || isAddress(s.Direct.Store) },
	},
	{
		Key: "direct.ready", Allowed: "an IP number and port", Doc: "address at which the balancer asks for readiness", requiredBy: directOnly,
		valid: func(s *Settings) bool { return s.Direct.Ready == "" || isAddress(s.Direct.Ready) },
	},
	{
		Key: "direct.neighbours", Allowed: "a list of IP numbers and ports", Doc: "some other entries, which an entry that starts asks for the state of the site, at its own peer port; without them it takes three registered ones from the store",
		valid: func(s *Settings) bool {
			return !slices.ContainsFunc(s.Direct.Neighbours, func(a string) bool { return !isAddress(a) })
		},
	},
	{
		Key: "direct.memory", Allowed: "0 to 1000000 megabytes", Doc: "memory that the process may use; 0 for no bound",
		valid: func(s *Settings) bool { return inRange(s.Direct.Memory, 0, 1000000) },
	},
	{
		Key: "direct.grace", Allowed: "1s to 1h", Doc: "time between the signal to stop and the process's end",
		valid: func(s *Settings) bool { return inRange(s.Direct.Grace, clock.Second, maxTimeout) },
	},
	{Key: "direct.strict-keys", Allowed: "true or false", Doc: "whether keyed requests are refused while it is not known that the key still holds"},
	{
		Key: "direct.key-lease", Allowed: "1s to 1h", Doc: "how long after it was taken away a key may still be used",
		valid: func(s *Settings) bool { return inRange(s.Direct.KeyLease, clock.Second, maxTimeout) },
	},
	{
		Key: "direct.retry-ratio", Allowed: "0 to 10", Doc: "attempts beyond the first that a request earns",
		valid: func(s *Settings) bool { return s.Direct.RetryRatio >= 0 && s.Direct.RetryRatio <= 10 },
	},
	{
		Key: "direct.retry-slack", Allowed: "0 to 100000", Doc: "attempts beyond the first that all entries together may save up",
		valid: func(s *Settings) bool { return s.Direct.RetrySlack >= 0 && s.Direct.RetrySlack <= 100000 },
	},
	{
		Key: "direct.retry-span", Allowed: "1s to 1h", Doc: "span over which these attempts are counted",
		valid: func(s *Settings) bool { return inRange(s.Direct.RetryWindow, clock.Second, maxTimeout) },
	},
	{
		Key: "direct.exposure", Allowed: "above 0, at most 1", Doc: "part of a service's requests that an unproven version may get",
		valid: func(s *Settings) bool { return s.Direct.Exposure > 0 && s.Direct.Exposure <= 1 },
	},
	{
		Key: "direct.cold-overage", Allowed: "0.1 to 10", Doc: "times the rate that an endpoint in cold start takes which it may get from all entries",
		valid: func(s *Settings) bool { return s.Direct.ColdOverage >= 0.1 && s.Direct.ColdOverage <= 10 },
	},
	{
		Key: "direct.cold-slack", Allowed: "0 to 1000", Doc: "requests a second beyond that",
		valid: func(s *Settings) bool { return s.Direct.ColdSlack >= 0 && s.Direct.ColdSlack <= 1000 },
	},
	{
		Key: "direct.session-life", Allowed: "100ms to 1h", Doc: "how long a session lasts that nobody uses",
		valid: func(s *Settings) bool { return inRange(s.Direct.SessionIdleTimeout, 100, maxTimeout) },
	},
}

var decisionOptions = []Option{
	{Key: "decisions.trial", Allowed: "true or false", Doc: "whether decisions may be made in other ways than by default, to compare them; never for callers who rely on the service"},
	{
		Key: "decisions.ways.*", Allowed: "with decisions.trial: " + strategyNames(), Doc: "the way in which a direct entry makes a decision, by its name; the first one is the default",
		valid: func(s *Settings) bool { return validStrategies(s.Decisions) },
	},
}

// validStrategies reports whether the selected strategies are known and, if there are any, the section
// is marked as a trial.
func validStrategies(d Decisions) bool {
	_, err := decision.Choose(d.Strategies)
	return err == nil && (d.Trial || len(d.Strategies) == 0)
}

// strategyNames lists the decisions with their strategies. Mechanisms that are only on or off are listed
// together at the end.
func strategyNames() string {
	var choices, switches []string
	for _, d := range decision.All {
		if slices.Contains(d.Strategies, decision.Off) {
			switches = append(switches, string(d.Name))
			continue
		}
		var names []string
		for _, strategy := range d.Strategies {
			names = append(names, string(strategy))
		}
		choices = append(choices, string(d.Name)+" "+strings.Join(names, " or "))
	}
	return strings.Join(choices, ", ") + "; " + strings.Join(switches, ", ") + " on or off"
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func isOneOf(text string, allowed ...string) bool { return slices.Contains(allowed, text) }

func inRange[N ~int | ~int64](n, low, high N) bool { return low <= n && n <= high }
