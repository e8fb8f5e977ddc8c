// Package table holds the operators' tables: organisations, routes, versions,
// pools, services, zones and VMs, and the rules by which changes to them from
// the log are accepted or rejected.
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// StaleRule says what a route does when the process cannot tell whether its
// tables are current.
type StaleRule string

// The stale rules.
const (
	// ServeWhenStale keeps serving on the last known tables.
	ServeWhenStale StaleRule = "serve"
	// RefuseWhenStale refuses new work until the tables are confirmed.
	RefuseWhenStale StaleRule = "refuse"
)

// AdminState says whether a zone or VM may receive new work.
type AdminState string

// The placements.
const (
	In  AdminState = "in"
	Out AdminState = "out"
)

// Organisation is a customer that holds keys.
type Organisation struct {
	// KeyHashes are lower-case hex SHA-256 digests; keys themselves are never
	// stored.
	KeyHashes []string `toml:"key-hashes"`
	// Weight is the organisation's fair share relative to others, at least 1.
	Weight int `toml:"weight"`
}

// Version is one version of a model, known by "model@number".
type Version struct {
	// InputCost and OutputCost are micro-units of currency per thousand tokens.
	InputCost  int64 `toml:"input-cost"`
	OutputCost int64 `toml:"output-cost"`
	// Quality is the operators' prior for the rating, between 0 and 1.
	Quality float64 `toml:"quality"`
	// Withdrawn versions receive no new work, not even from their sessions.
	Withdrawn bool `toml:"withdrawn"`
	// Released ends a hold placed before this value was last raised.
	Released int `toml:"released"`
}

// RouteModel is one model a route may use, with the shares of its versions.
type RouteModel struct {
	Model string `toml:"model"`
	// Shares maps version numbers to parts of the traffic; they sum to 1.
	Shares map[string]float64 `toml:"shares"`
}

// Objective is a route's service-level objective; zero fields are not judged.
type Objective struct {
	// FirstToken and TokenGap are limits at which a request counts as bad.
	FirstToken clock.Millis `toml:"first-token"`
	TokenGap   clock.Millis `toml:"token-gap"`
	// Target is the share of good requests, such as 0.95.
	Target float64 `toml:"target"`
	// Availability is the share of requests that get a whole answer.
	Availability float64 `toml:"availability"`
}

// HoldLimits say from when on a version is held back. Zero fields take the
// defaults beside them.
type HoldLimits struct {
	// Errors is the part of attempts that may fail through the version's fault.
	Errors float64 `toml:"errors"`
	// Slow is the part of answers that may miss the route's objective.
	Slow float64 `toml:"slow"`
	// RatingLoss is how far the mean rating may lie below the version's quality
	// in the tables.
	RatingLoss float64 `toml:"rating-loss"`
}

// Defaults of HoldLimits.
const (
	DefaultHoldErrors     = 0.02
	DefaultHoldSlow       = 0.2
	DefaultHoldRatingLoss = 0.1
)

// WithDefaults returns the limits with zero fields filled.
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

// Route says which models and versions organisations may reach under a name.
type Route struct {
	// Organisations lists who may use the route.
	Organisations []string `toml:"organisations"`
	// Models is ordered as the operators wrote it; choice orders by cost.
	Models []RouteModel `toml:"models"`
	// QualityTarget is the mean rating the route must reach, between 0 and 1.
	QualityTarget float64 `toml:"quality-target"`
	// Cascade allows a dearer model to answer again after a poor rating.
	Cascade bool `toml:"cascade"`
	// Explore is the largest part of requests used to learn about versions
	// whose quality is uncertain.
	Explore float64 `toml:"explore"`
	// WhenStale and StaleAfter decide what an unconfirmed table may serve.
	WhenStale  StaleRule    `toml:"when-stale"`
	StaleAfter clock.Millis `toml:"stale-after"`
	// Deadline bounds a whole request.
	Deadline  clock.Millis `toml:"deadline"`
	Objective Objective    `toml:"objective"`
	Hold      HoldLimits   `toml:"hold"`
}

// Service is a plain service reached under /v1/services/{name}.
type Service struct {
	Pool          string   `toml:"pool"`
	Organisations []string `toml:"organisations"`
	// Repeatable lists HTTP methods that are idempotent; all others run at
	// most once.
	Repeatable []string `toml:"repeatable"`
	// Fee is billed for each call, in micro-units of currency.
	Fee      int64        `toml:"fee"`
	Deadline clock.Millis `toml:"deadline"`
	// WhenLogDown says whether keyed calls that may not be repeated are served
	// without a claim while the log is out: "refuse" (default) or "serve".
	WhenLogDown StaleRule    `toml:"when-log-down"`
	WhenStale   StaleRule    `toml:"when-stale"`
	StaleAfter  clock.Millis `toml:"stale-after"`
	Objective   Objective    `toml:"objective"`
}

// Pool says where versions or a plain service run.
type Pool struct {
	// Versions are the "model@number" names its endpoints serve; empty for a
	// pool of plain services.
	Versions []string `toml:"versions"`
	// Zones limits the pool to these availability zones; empty means all.
	Zones []string `toml:"zones"`
	// ColdWindow is how many requests an endpoint in cold start may hold.
	ColdWindow int `toml:"cold-window"`
	// FullWindow is how many a warm endpoint may hold.
	FullWindow int `toml:"full-window"`
	// Queue is how many requests may wait for a place at one endpoint; 0 allows
	// as many as full-window.
	Queue int `toml:"queue"`
	// QueueWait is how long a request may wait for a place; 0 means 250 ms.
	QueueWait clock.Millis `toml:"queue-wait"`
	// ChecksFencing says that the engines refuse an order carrying an old
	// fencing number.
	ChecksFencing bool `toml:"checks-fencing"`
	// Role is the role that the engines shall have, such as "prefill"; empty leaves
	// it to them.
	Role string `toml:"role"`
	// Resumes says that the engines can resume a stream after a given token.
	Resumes bool `toml:"resumes"`
	// MovesCache says that the engines export and import KV cache.
	MovesCache bool `toml:"moves-cache"`
}

// Location is the operators' word on one zone or VM.
type Location struct {
	State AdminState `toml:"state"`
}

// Tables is one whole configuration. A published value is never changed.
type Tables struct {
	Organisations map[string]Organisation `toml:"organisations"`
	Versions      map[string]Version      `toml:"versions"`
	Routes        map[string]Route        `toml:"routes"`
	Services      map[string]Service      `toml:"services"`
	Pools         map[string]Pool         `toml:"pools"`
	Zones         map[string]Location     `toml:"zones"`
	VMs           map[string]Location     `toml:"vms"`
}

// VersionName joins a model and a version number.
func VersionName(model, number string) string {
	return model + "@" + number
}

// SplitVersion parts a version name into model and number; ok is false when
// the name has no "@" or an empty side.
func SplitVersion(name string) (model, number string, ok bool) {
	model, number, ok = strings.Cut(name, "@")
	return model, number, ok && model != "" && number != ""
}

// ZoneOut reports whether operators have taken a zone out.
func (t *Tables) ZoneOut(zone string) bool {
	return t.Zones[zone].State == Out
}

// VMOut reports whether operators have taken a VM out.
func (t *Tables) VMOut(vm string) bool {
	return t.VMs[vm].State == Out
}

// PoolsOf returns the names of the pools that serve a version, in no order.
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

// Allows reports whether a route lists a version, with a share or without.
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

// Cost prices an answer in micro-units of currency, rounded up.
func (v Version) Cost(inputTokens, outputTokens int64) int64 {
	const perThousand = 1000
	return (v.InputCost*inputTokens + v.OutputCost*outputTokens + perThousand - 1) / perThousand
}

// InZone reports whether a pool may use a zone.
func (p Pool) InZone(zone string) bool {
	return len(p.Zones) == 0 || slices.Contains(p.Zones, zone)
}

// OrganisationOf finds the organisation that holds a key, by its hash.
func (t *Tables) OrganisationOf(hash string) (name string, ok bool) {
	for name, o := range t.Organisations {
		if slices.Contains(o.KeyHashes, hash) {
			return name, true
		}
	}
	return "", false
}

// RoutesOf lists the routes an organisation may use, sorted.
func (t *Tables) RoutesOf(organisation string) (names []string) {
	for name, r := range t.Routes {
		if slices.Contains(r.Organisations, organisation) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HashKey returns the digest under which a bearer key stands in the tables.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
