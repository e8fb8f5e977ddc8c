package table

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// shareTolerance is how far a route's shares may sum away from 1.
const shareTolerance = 1e-6

// Check reports every contradiction in the tables, one a line, each beginning
// with the key it concerns.
func (t *Tables) Check() error {
	var faults []string
	add := func(format string, a ...any) { faults = append(faults, fmt.Sprintf(format, a...)) }
	t.checkOrganisations(add)
	t.checkVersions(add)
	t.checkPools(add)
	t.checkRoutes(add)
	t.checkServices(add)
	t.checkSites(add)
	if len(faults) == 0 {
		return nil
	}
	slices.Sort(faults)
	return ErrInvalid.New("%s", strings.Join(faults, "\n"))
}

type faultFunc func(format string, a ...any)

func (t *Tables) checkOrganisations(add faultFunc) {
	owner := make(map[string]string)
	for name, o := range t.Organisations {
		if o.Weight < 1 {
			add("organisations.%s.weight: is %d, at least 1 is allowed", name, o.Weight)
		}
		for _, h := range o.KeyHashes {
			if len(h) != 64 || strings.Trim(h, "0123456789abcdef") != "" {
				add("organisations.%s.key-hashes: %q is no lower-case hex SHA-256 digest", name, h)
			}
			if other, taken := owner[h]; taken {
				add("organisations.%s.key-hashes: a hash also stands at %s", max(name, other), min(name, other))
			}
			owner[h] = name
		}
	}
}

func (t *Tables) checkVersions(add faultFunc) {
	for name, v := range t.Versions {
		if _, _, ok := SplitVersion(name); !ok {
			add("versions.%s: a version is named model@number", name)
		}
		if v.InputCost < 0 || v.OutputCost < 0 {
			add("versions.%s: costs may not be negative", name)
		}
		if !within(v.Quality, 1) {
			add("versions.%s.quality: is %v, between 0 and 1 is allowed", name, v.Quality)
		}
	}
}

func (t *Tables) checkPools(add faultFunc) {
	for name, p := range t.Pools {
		for _, v := range p.Versions {
			if _, ok := t.Versions[v]; !ok {
				add("pools.%s.versions: no version %q", name, v)
			}
		}
		if p.ColdWindow < 1 {
			add("pools.%s.cold-window: is %d, at least 1 is allowed", name, p.ColdWindow)
		}
		if p.FullWindow < p.ColdWindow {
			add("pools.%s.full-window: is %d, at least cold-window is allowed", name, p.FullWindow)
		}
		if p.Queue < 0 || p.QueueWait < 0 {
			add("pools.%s.queue: queue and queue-wait may not be negative", name)
		}
	}
}

func (t *Tables) checkRoutes(add faultFunc) {
	for name, r := range t.Routes {
		key := "routes." + name
		t.checkCallers(key, r.Organisations, add)
		checkStale(key, r.WhenStale, add)
		checkHold(key, r.Hold, add)
		if len(r.Models) == 0 {
			add("%s.models: at least one model is needed", key)
		}
		if !within(r.Explore, 0.5) {
			add("%s.explore: is %v, between 0 and 0.5 is allowed", key, r.Explore)
		}
		best := 0.0
		for _, m := range r.Models {
			best = max(best, t.checkShares(key, m, add))
		}
		if !within(r.QualityTarget, best) {
			add("%s.quality-target: is %v, the best version's quality is %v", key, r.QualityTarget, best)
		}
	}
}

// checkShares returns the best quality among the model's versions that have a
// share.
func (t *Tables) checkShares(key string, m RouteModel, add faultFunc) (best float64) {
	sum := 0.0
	for number, share := range m.Shares {
		version := VersionName(m.Model, number)
		v, ok := t.Versions[version]
		if !ok {
			add("%s.models: no version %q", key, version)
			continue
		}
		if !within(share, 1) {
			add("%s.models: the share of %q is %v, between 0 and 1 is allowed", key, version, share)
		}
		if share > 0 {
			best = max(best, v.Quality)
		}
		if share > 0 && v.Withdrawn {
			add("%s.models: %q is withdrawn and has a share", key, version)
		}
		if share > 0 && len(t.PoolsOf(version)) == 0 {
			add("%s.models: no pool serves %q", key, version)
		}
		sum += share
	}
	if !within(math.Abs(sum-1), shareTolerance) {
		add("%s.models: the shares of %q sum to %v, must be 1", key, m.Model, sum)
	}
	return best
}

func (t *Tables) checkServices(add faultFunc) {
	for name, s := range t.Services {
		key := "services." + name
		t.checkCallers(key, s.Organisations, add)
		checkStale(key, s.WhenStale, add)
		if _, ok := t.Pools[s.Pool]; !ok {
			add("%s.pool: no pool %q", key, s.Pool)
		}
		if s.Fee < 0 {
			add("%s.fee: may not be negative", key)
		}
	}
}

func (t *Tables) checkCallers(key string, names []string, add faultFunc) {
	for _, o := range names {
		if _, ok := t.Organisations[o]; !ok {
			add("%s.organisations: no organisation %q", key, o)
		}
	}
}

func checkHold(key string, h HoldLimits, add faultFunc) {
	limits := map[string]float64{"errors": h.Errors, "slow": h.Slow, "rating-loss": h.RatingLoss}
	for name, limit := range limits {
		if !within(limit, 0.9) {
			add("%s.hold.%s: is %v, between 0 (the default) and 0.9 is allowed", key, name, limit)
		}
	}
}

func checkStale(key string, rule StaleRule, add faultFunc) {
	switch rule {
	case "", ServeWhenStale, RefuseWhenStale:
	default:
		add("%s.when-stale: is %q, \"serve\" or \"refuse\" is allowed", key, rule)
	}
}

func (t *Tables) checkSites(add faultFunc) {
	for name, z := range t.Zones {
		checkPlacement("zones."+name, z.State, add)
	}
	for name, v := range t.VMs {
		checkPlacement("vms."+name, v.State, add)
	}
}

func checkPlacement(key string, p AdminState, add faultFunc) {
	if p != In && p != Out {
		add("%s.state: is %q, \"in\" or \"out\" is allowed", key, p)
	}
}

// within reports whether a number lies between 0 and a limit. It is worded so
// that NaN, which compares false with everything, does not.
func within(x, limit float64) bool { return x >= 0 && x <= limit }
