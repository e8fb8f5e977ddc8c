// Package table defines the operators' configuration tables (organisations, routes, versions, pools,
// services, zones and VMs) and the rules by which changes on the log are accepted or rejected.
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// StaleRule defines what a route or service does while the process cannot confirm that its tables are
// current.
type StaleRule string

// The stale rules.
const (
	// ServeWhenStale continues to serve with the last known tables.
	ServeWhenStale StaleRule = "serve"
	// RefuseWhenStale refuses new requests until the tables are confirmed.
	RefuseWhenStale StaleRule = "refuse"
)

// AdminState defines whether a zone or VM may receive new requests.
type AdminState string

// The administrative states.
const (
	In  AdminState = "in"
	Out AdminState = "out"
)

// Organisation is a customer with API keys.
type Organisation struct {
	// KeyHashes holds the SHA-256 digests of the keys in lower-case hex. The keys themselves are never
	// stored.
	KeyHashes []string `toml:"key-hashes"`
	// Weight is the organisation's weight in fair sharing, at least 1.
	Weight int `toml:"weight"`
}

// Version is one version of a model. Its key in Tables is "model@number".
type Version struct {
	// InputCost and OutputCost are in micro-units of currency per 1000 tokens.
	InputCost  int64 `toml:"input-cost"`
	OutputCost int64 `toml:"output-cost"`
	// Quality is the mean rating that the operators expect before any is measured, from 0 to 1.
	Quality float64 `toml:"quality"`
	// Withdrawn versions receive no new requests, not even from sessions that use them.
	Withdrawn bool `toml:"withdrawn"`
	// Released is a counter. Raising it ends all holds that were placed on the version until then.
	Released int `toml:"released"`
}

// RouteModel is one model of a route with the traffic shares of its versions.
type RouteModel struct {
	Model string `toml:"model"`
	// Shares maps version numbers to fractions of the traffic, which sum to 1.
	Shares map[string]float64 `toml:"shares"`
}

// Objective is the service-level objective of a route or service. Zero fields are not evaluated.
type Objective struct {
	// FirstToken and TokenGap are the latency limits above which a request counts as bad.
	FirstToken clock.Millis `toml:"first-token"`
	TokenGap   clock.Millis `toml:"token-gap"`
	// Target is the fraction of requests that must be good, such as 0.95.
	Target float64 `toml:"target"`
	// Availability is the fraction of requests that must get a complete answer.
	Availability float64 `toml:"availability"`
}

// HoldLimits are the limits beyond which a version is put on hold. Zero fields mean the defaults.
type HoldLimits struct {
	// Errors is the fraction of attempts that may fail because of the version.
	Errors float64 `toml:"errors"`
	// Slow is the fraction of answers that may miss the latency limits of the route's objective.
	Slow float64 `toml:"slow"`
	// RatingLoss is how far the mean rating may be below the version's Quality.
	RatingLoss float64 `toml:"rating-loss"`
}

// Defaults of HoldLimits.
const (
	DefaultHoldErrors     = 0.02
	DefaultHoldSlow       = 0.2
	DefaultHoldRatingLoss = 0.1
)

// WithDefaults returns the limits with zero fields replaced by the defaults.
func (h HoldLimits) WithDefaults() HoldLimits {
	if h.Errors == 0 {
		h.Errors = DefaultHoldErrors
	}
	if h.Slow == 0 {
		h.Slow = DefaultHoldSlow
	}
	if h.RatingLoss == 0 {
		h.RatingLoss = DefaultHoldRatingLoss
	}
	return h
}

// Route defines which models and versions organisations may use under one name.
type Route struct {
	// Organisations lists the organisations that may use the route.
	Organisations []string `toml:"organisations"`
	// Models is in the operators' order; package choice orders by cost.
	Models []RouteModel `toml:"models"`
	// QualityTarget is the mean rating that the route must reach, from 0 to 1.
	QualityTarget float64 `toml:"quality-target"`
	// Cascade allows a second run with a more expensive model if the first answer is rated poor.
	Cascade bool `toml:"cascade"`
	// Explore is the largest fraction of requests used to explore versions of uncertain quality.
	Explore float64 `toml:"explore"`
	// WhenStale applies once the tables have been unconfirmed for longer than StaleAfter. If
	// StaleAfter is 0, it never applies.
	WhenStale  StaleRule    `toml:"when-stale"`
	StaleAfter clock.Millis `toml:"stale-after"`
	// Deadline limits the total time of a request.
	Deadline  clock.Millis `toml:"deadline"`
	Objective Objective    `toml:"objective"`
	Hold      HoldLimits   `toml:"hold"`
}

// Service is a plain service, that is, one that is not a model. It is served at
// /v1/services/{name}.
type Service struct {
	Pool          string   `toml:"pool"`
	Organisations []string `toml:"organisations"`
	// Repeatable lists the HTTP methods that are idempotent; requests with other methods run at
	// most once.
	Repeatable []string `toml:"repeatable"`
	// Fee is the price of each call, in micro-units of currency.
	Fee      int64        `toml:"fee"`
	Deadline clock.Millis `toml:"deadline"`
	// WhenLogDown defines whether calls with an idempotency key that must not be repeated are served
	// without a claim while the log is unavailable: "refuse" (default) or "serve".
	WhenLogDown StaleRule    `toml:"when-log-down"`
	WhenStale   StaleRule    `toml:"when-stale"`
	StaleAfter  clock.Millis `toml:"stale-after"`
	Objective   Objective    `toml:"objective"`
}

// Pool is a group of endpoints that serve the same versions or one plain service.
type Pool struct {
	// Versions lists the "model@number" names that the endpoints serve; empty for plain services.
	Versions []string `toml:"versions"`
	// Zones restricts the pool to these availability zones; empty means all zones.
	Zones []string `toml:"zones"`
	// ColdWindow is the maximum number of requests that an endpoint in cold start processes at
	// once.
	ColdWindow int `toml:"cold-window"`
	// FullWindow is the maximum number of requests that a warm endpoint processes at once.
	FullWindow int `toml:"full-window"`
	// Queue is the maximum number of requests that wait for a slot at one endpoint; 0 means the value
	// of FullWindow.
	Queue int `toml:"queue"`
	// QueueWait is how long a request may wait for a slot; 0 means 250 ms.
	QueueWait clock.Millis `toml:"queue-wait"`
	// ChecksFencing is true if the engines refuse orders with an outdated fencing number.
	ChecksFencing bool `toml:"checks-fencing"`
	// Role is the role that the engines must have, such as "prefill"; empty means that they choose.
	Role string `toml:"role"`
	// Resumes is true if the engines can resume a stream after a given token.
	Resumes bool `toml:"resumes"`
	// MovesCache is true if the engines can export and import their KV cache.
	MovesCache bool `toml:"moves-cache"`
}

// Location is the operators' setting for one zone or VM.
type Location struct {
	State AdminState `toml:"state"`
}

// Tables is one complete configuration. A published value is immutable.
type Tables struct {
	Organisations map[string]Organisation `toml:"organisations"`
	Versions      map[string]Version      `toml:"versions"`
	Routes        map[string]Route        `toml:"routes"`
	Services      map[string]Service      `toml:"services"`
	Pools         map[string]Pool         `toml:"pools"`
	Zones         map[string]Location     `toml:"zones"`
	VMs           map[string]Location     `toml:"vms"`
}

// VersionName returns the name of a version, "model@number".
func VersionName(model, number string) string {
	return model + "@" + number
}

// SplitVersion splits a version name into model and number; ok is false if the name has no "@" or either
// part is empty.
func SplitVersion(name string) (model, number string, ok bool) {
	model, number, ok = strings.Cut(name, "@")
	return model, number, ok && model != "" && number != ""
}

// ZoneOut reports whether operators have taken a zone out of service.
func (t *Tables) ZoneOut(zone string) bool {
	return t.Zones[zone].State == Out
}

// VMOut reports whether operators have taken a VM out of service.
func (t *Tables) VMOut(vm string) bool {
	return t.VMs[vm].State == Out
}

// PoolsOf returns the names of the pools that serve a version, in no particular order.
func (t *Tables) PoolsOf(version string) (names []string) {
	for name, p := range t.Pools {
		for _, v := range p.Versions {
			if v == version {
				names = append(names, name)
			}
		}
	}
	return names
}

// Allows reports whether a route lists a version, even with a share of 0.
func (r Route) Allows(version string) bool {
	model, number, ok := SplitVersion(version)
	if !ok {
		return false
	}
	for _, m := range r.Models {
		if _, listed := m.Shares[number]; listed && m.Model == model {
			return true
		}
	}
	return false
}

// Cost returns the price of an answer in micro-units of currency, rounded up.
func (v Version) Cost(inputTokens, outputTokens int64) int64 {
	const perThousand = 1000
	return (v.InputCost*inputTokens + v.OutputCost*outputTokens + perThousand - 1) / perThousand
}

// InZone reports whether a pool may use a zone.
func (p Pool) InZone(zone string) bool {
	return len(p.Zones) == 0 || slices.Contains(p.Zones, zone)
}

// OrganisationOf returns the organisation that owns a key, given the key's hash from HashKey.
func (t *Tables) OrganisationOf(hash string) (name string, ok bool) {
	for name, o := range t.Organisations {
		if slices.Contains(o.KeyHashes, hash) {
			return name, true
		}
	}
	return "", false
}

// RoutesOf returns the names of the routes that an organisation may use, sorted.
func (t *Tables) RoutesOf(organisation string) (names []string) {
	for name, r := range t.Routes {
		if slices.Contains(r.Organisations, organisation) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HashKey returns the digest of a bearer key as stored in KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
